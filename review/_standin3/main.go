// Command standin3 plays the cases of the second review that need a platform, runners
// and clients of their own: it starts the deployed program as separate processes on
// loopback addresses, and records what was sent, answered and run.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken and with 2 if
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenarios are the cases by name. Each returns what broke the rule, empty if it held, and
// an error if it could not run.
var scenarios = map[string]func(s *site, trouble bool) (broken []string, err error){}

func main() {
	binary := flag.String("binary", "target/gooseberry-scheduler", "the deployed program")
	record := flag.String("record", "record.txt", "file for the record of the run")
	name := flag.String("case", "", "name of the case")
	flag.Parse()
	os.Exit(run(*binary, *record, *name))
}

func run(binary, recordFile, name string) int {
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.add("case %s, disruption %v", name, trouble)
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	s := newSite(binary, dir, rec)
	broken, err := scenario(s, trouble)
	s.close()
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		rec.add("BROKEN: %s", strings.Join(broken, "; "))
		fmt.Println("broken:", broken[0])
		return exitBroken
	default:
		rec.add("held")
		fmt.Println("held")
		return exitHeld
	}
}
