// Command gooseberry-soak injects seeded sequences of faults into real scheduler
// processes and checks the guarantees of the system.
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
	exitFindings
	exitFailed
)

type options struct {
	Binary    string           `help:"gooseberry-scheduler program." required:"" type:"existingfile"`
	Seed      uint64           `help:"First seed." default:"1"`
	Seeds     int              `help:"Number of consecutive seeds, run one after the other." default:"1"`
	Duration  time.Duration    `help:"Length of the fault injection of each seed." default:"25s"`
	Instances int              `help:"Number of scheduler processes." default:"4"`
	Workers   int              `help:"Number of emulated workers." default:"6"`
	Callers   int              `help:"Number of concurrent callers." default:"6"`
	LongLived int              `help:"Number of long-running jobs that run until the end of each seed; 0 also leaves out the losses of workers and owners."`
	Only      []soak.Kind      `help:"Kind of faults to inject, as printed with --verbose; may be repeated. Default: all."`
	Dir       string           `help:"Directory for the settings and logs of seeds with findings." default:"soak" type:"path"`
	Verbose   bool             `help:"Print each injected fault and each finding."`
	Version   kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var o options
	kong.Parse(&o,
		kong.Description("Injects seeded sequences of faults into real scheduler processes and checks the guarantees. Exit codes: 0 no findings, 1 findings, 2 a run failed."),
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
		runOptions := soak.Options{
			Seed: seed, Duration: o.Duration, Instances: o.Instances, Workers: o.Workers, Callers: o.Callers, LongLived: o.LongLived, Binary: o.Binary, Dir: dir, Only: o.Only,
		}
		if o.Verbose {
			runOptions.Print = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		r, err := soak.Run(runOptions)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return exitFailed
		}
		fmt.Printf("seed %d: %d findings; %d faults, %d jobs: %d accepted, %d refused, %d cancelled; %d task starts, %d restarts\n",
			seed, len(r.Findings), r.Faults, r.Jobs, r.Accepted, r.Refused, r.Cancelled, r.Starts, r.Restarts)
		for _, f := range r.Findings {
			fmt.Println("  ", f)
			code = exitFindings
		}
		if len(r.Findings) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}
	return code
}
