// Command gooseberryctl validates and publishes declarations and shows the
// state and the merged timeline of entry instances. Only publish writes.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"gooseberryreel/internal/buildinfo"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitInvalid  = 4
	exitUnknown  = 5
	// exitPartial means that some instances or files could not be read.
	exitPartial = 6
)

type commands struct {
	Validate validateCommand  `cmd:"" help:"Validate declaration files without publishing them."`
	Publish  publishCommand   `cmd:"" help:"Publish declaration files and wait until each is accepted."`
	Status   statusCommand    `cmd:"" help:"Show the state of entry instances."`
	Timeline timelineCommand  `cmd:"" help:"Merge the events of instances and saved files in causal order."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// console holds the context and the output streams of a command.
type console struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

func (c *console) errorf(format string, args ...any) {
	fmt.Fprintf(c.stderr, "gooseberryctl: "+format+"\n", args...)
}

// command is a subcommand. Its run method returns the exit code.
type command interface {
	run(c *console) int
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(&console{ctx: ctx, stdout: os.Stdout, stderr: os.Stderr}, os.Args[1:]))
}

func run(c *console, args []string) int {
	var cmds commands
	parser, err := kong.New(&cmds, kong.Name("gooseberryctl"), kong.Writers(c.stdout, c.stderr),
		kong.Description("Operator commands. Exit codes: 0 done or accepted, 1 failed, 2 usage, 3 conflict, 4 invalid, 5 unknown, 6 some instances or files could not be read."),
		kong.Vars{"version": buildinfo.Version})
	if err != nil {
		c.errorf("%v", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		c.errorf("%v", err)
		return exitUsage
	}
	byName := map[string]command{"validate": &cmds.Validate, "publish": &cmds.Publish, "status": &cmds.Status, "timeline": &cmds.Timeline}
	return byName[parsed.Selected().Name].run(c)
}
