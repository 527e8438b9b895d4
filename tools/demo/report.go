package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// report prints the lines of the demonstration and counts passed and failed
// checks.
type report struct {
	out   io.Writer
	start time.Time

	mu     sync.Mutex
	passed int
	failed []string
}

func (r *report) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.printLine(format, args...)
}

func (r *report) printLine(format string, args ...any) {
	fmt.Fprintf(r.out, "%5.1fs  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// check prints a PASS or FAIL line with the measured figures.
func (r *report) check(ok bool, name, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := "PASS"
	if ok {
		r.passed++
	} else {
		verdict = "FAIL"
		r.failed = append(r.failed, name)
	}
	r.printLine("%s %s: %s", verdict, name, fmt.Sprintf(format, args...))
}

// finish prints the totals and reports whether there were checks and all passed.
func (r *report) finish() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.printLine("%d passed, %d failed %v", r.passed, len(r.failed), r.failed)
	return len(r.failed) == 0 && r.passed > 0
}
