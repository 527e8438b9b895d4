// Command review2 plays the scripted cases of the second review: a stand-in platform,
// runners and clients on loopback addresses around the real scheduler processes.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(couldNotRun)
	}
	cases := map[string]func(d *deployment, trouble bool) int{
		"serving-filler": servingFiller, "many-ends": manyEnds, "month-schedules": monthSchedules, "unknown-cancel": unknownCancel,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNotRun)
	}
	d, err := newDeployment(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	code := play(d, os.Getenv("TROUBLE") != "0")
	leastRuns := 1
	if os.Args[1] == "many-ends" {
		leastRuns = 2 // what ran once is counted in the line with the state
	}
	for _, line := range d.log.lines(d.began, leastRuns, 400) {
		d.note("%s", line)
	}
	d.note("exit code %d", code)
	d.close()
	os.Exit(code)
}
