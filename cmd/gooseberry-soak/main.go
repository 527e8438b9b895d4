// Command gooseberry-soak plays seeded series of faults against real scheduler
// processes and checks the promises of the system.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"gooseberryreel/internal/buildinfo"
	"gooseberryreel/internal/soak"
)

// Exit codes. Usage errors have code 80, which kong sets.
const (
	exitOK = iota
	exitBroken
	exitFailed
)

type options struct {
	Binary    string           `help:"gooseberry-scheduler program." required:"" type:"existingfile"`
	Seed      uint64           `help:"First seed." default:"1"`
	Seeds     int              `help:"Number of seeds, one after the other." default:"1"`
	Duration  time.Duration    `help:"Time of the disturbances of a seed." default:"25s"`
	Instances int              `help:"Scheduler processes." default:"4"`
	Workers   int              `help:"Emulated workers." default:"6"`
	Callers   int              `help:"Callers at the same time." default:"6"`
	Dir       string           `help:"Where settings and logs of a seed with findings are kept." default:"soak" type:"path"`
	Verbose   bool             `help:"Print each disturbance."`
	Version   kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var o options
	kong.Parse(&o,
		kong.Description("Plays seeded series of faults against real scheduler processes. Exit codes: 0 all promises held, 1 some broken, 2 a run failed."),
		kong.Vars{"version": buildinfo.Version},
	)
	os.Exit(run(o))
}

func run(o options) int {
	code := exitOK
	for n := range o.Seeds {
		seed := o.Seed + uint64(n)
		dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		settings := soak.Options{
			Seed: seed, Duration: o.Duration, Instances: o.Instances, Workers: o.Workers, Callers: o.Callers, Binary: o.Binary, Dir: dir,
		}
		if o.Verbose {
			settings.Print = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		r, err := soak.Run(settings)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return exitFailed
		}
		fmt.Printf("seed %d: %d findings; %d disturbances, %d jobs: %d accepted, %d refused, %d cancelled; %d starts\n",
			seed, len(r.Findings), r.Faults, r.Jobs, r.Accepted, r.Refused, r.Cancelled, r.Starts)
		for _, f := range r.Findings {
			fmt.Println("  ", f)
			code = exitBroken
		}
		if len(r.Findings) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}
	return code
}
