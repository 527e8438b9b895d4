// Command gooseberry-check reads the histories and timelines of a run and
// checks the guarantees G1 to G9 over them.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"gooseberryreel/internal/buildinfo"
	"gooseberryreel/internal/history"
)

// Exit codes.
const (
	exitOK        = 0
	exitViolation = 1
	exitUsage     = 2
	exitInput     = 3
	exitUnchecked = 4
	exitUndecided = 5
	// maxPrintedLines limits the lines of each list of a guarantee in the text
	// output.
	maxPrintedLines = 10
)

type options struct {
	Histories    []string         `arg:"" name:"history" help:"History files (JSON lines of operations)." type:"path"`
	Events       []string         `help:"Saved timeline files, for the times at which instances began to leave and the configuration versions that they had in force." type:"path"`
	Instances    string           `help:"Saved instance list of the platform, for the capacities of workers and targets." type:"path"`
	Declarations []string         `help:"Declaration files, for the reservations of services on workers." type:"path"`
	Require      []string         `help:"Guarantees that must have been checked at least once, such as G5,G6."`
	LeavingGrace time.Duration    `help:"How long a leaving instance may still get new work." default:"3s"`
	InForce      time.Duration    `help:"How long an accepted configuration may take to be in force at all instances." default:"9s"`
	Search       time.Duration    `help:"Time limit of the search for a valid order of the operations of each id." default:"10s"`
	Format       string           `help:"Output format." enum:"text,json" default:"text"`
	Version      kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser, err := kong.New(&opts, kong.Name("gooseberry-check"), kong.Writers(stdout, stderr),
		kong.Description("Checks the guarantees G1 to G9 over histories. Exit codes: 0 no violation, 1 violation, 2 usage, 3 unreadable input, 4 no operation checked for a required guarantee, 5 a search reached its time limit."),
		kong.Vars{"version": buildinfo.Version})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(stderr, "gooseberry-check:", err)
		return exitUsage
	}
	ops, limits, err := opts.read()
	if err != nil {
		fmt.Fprintln(stderr, "gooseberry-check:", err)
		return exitInput
	}
	bounds := history.Bounds{LeavingGrace: opts.LeavingGrace, InForce: opts.InForce, Search: opts.Search}
	results := history.Check(ops, limits, bounds)
	if opts.Format == "json" {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(results); err != nil {
			fmt.Fprintln(stderr, err)
			return exitInput
		}
	} else {
		printText(stdout, results)
	}
	return exitCode(results, opts.Require)
}

// exitCode returns the code of the most severe result: a violation comes before
// an undecided search, and that before a required guarantee that was not checked.
func exitCode(results []history.Guarantee, required []string) int {
	isRequired := make(map[string]bool)
	for _, name := range required {
		isRequired[name] = true
	}
	code := exitOK
	for _, g := range results {
		switch {
		case len(g.Violations) > 0:
			return exitViolation
		case len(g.Undecided) > 0:
			code = exitUndecided
		case g.Checked == 0 && isRequired[g.Name] && code == exitOK:
			code = exitUnchecked
		}
	}
	return code
}

func printText(w io.Writer, results []history.Guarantee) {
	for _, g := range results {
		fmt.Fprintf(w, "%s %-10s checked=%d violations=%d: %s\n", g.Name, verdict(g), g.Checked, len(g.Violations), g.Text)
		printLines(w, "violation", g.Violations)
		printLines(w, "undecided", g.Undecided)
		printLines(w, "note", g.Notes)
	}
}

func verdict(g history.Guarantee) string {
	switch {
	case len(g.Violations) > 0:
		return "VIOLATED"
	case len(g.Undecided) > 0:
		return "UNDECIDED"
	case g.Checked == 0:
		return "UNCHECKED"
	}
	return "HELD"
}

func printLines(w io.Writer, label string, lines []string) {
	for n, line := range lines {
		if n == maxPrintedLines {
			fmt.Fprintf(w, "   %s: and %d more\n", label, len(lines)-n)
			return
		}
		fmt.Fprintf(w, "   %s: %s\n", label, line)
	}
}
