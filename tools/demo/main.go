// Command demo is the driver of "make demo": it starts a stand-in platform and
// nine entry instances in three failure domains on loopback, injects faults and
// prints one PASS or FAIL line for each check. The number in front of a check's
// name is its part: 1 configuration, 2 requests, 3 jobs, 4 membership and log
// outage, 5 timeline.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// maxRunTime limits the demonstration, so that it ends even if a step hangs.
	maxRunTime = 70 * time.Second
)

type options struct {
	Bin      string `help:"Directory of the programs." default:"bin" type:"existingdir"`
	Examples string `help:"Directory of the demonstration's declarations and site settings." default:"examples/demo" type:"existingdir"`
	Keep     string `help:"Directory for logs, histories and timelines; without it they are deleted at the end." type:"path"`
	Seed     uint64 `help:"Seed of loads and ids." default:"1"`
}

func main() {
	var opts options
	parser := kong.Must(&opts, kong.Name("demo"), kong.Description("Exit codes: 0 all checks passed, 1 a check or the run failed, 2 usage."))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ok, err := opts.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !ok {
		os.Exit(exitFailed)
	}
}

// run runs the demonstration and reports whether all checks passed. It stops all
// processes before it returns.
func (o *options) run(ctx context.Context) (ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	dir := o.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "gooseberry-demo-"); err != nil {
			return false, errors.Wrap(err, "create work directory")
		}
		defer func() { err = firstError(err, os.RemoveAll(dir)) }()
	}
	for _, name := range []string{"log", "settings", "events"} {
		if err := os.MkdirAll(filepath.Join(dir, name), 0o755); err != nil {
			return false, errors.Wrap(err, "create work directory")
		}
	}
	procs := newProcesses(o.Bin, filepath.Join(dir, "log"))
	defer procs.stopAll()
	d, err := newDemo(o, dir, procs)
	if err != nil {
		return false, err
	}
	if err := d.run(ctx); err != nil {
		return false, err
	}
	return d.report.finish(), nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
