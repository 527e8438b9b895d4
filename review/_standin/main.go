// Command standin plays the cases of the review: it starts the deployed program as
// separate processes with stand-ins for the platform's store and the runners, plays one
// case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// timeLimit ends a case that takes longer than a script may.
const timeLimit = 115 * time.Second

// play is a case. An error means that it could not run.
type play func(s *site, trouble bool) error

var plays = map[string]play{"expiry": playExpiry, "large": playLarge, "route": playRoute}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	f, found := plays[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitCannotRun
	}
	file, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{file: file, began: time.Now()}
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer s.close()
	time.AfterFunc(timeLimit, func() {
		rec.event("the case takes too long")
		s.close()
		os.Exit(exitCannotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.event("case %s, with the disruption: %v", *name, trouble)
	if err := f(s, trouble); err != nil {
		rec.event("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCannotRun
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.event("%d findings", len(s.findings))
	for n, finding := range s.findings {
		if n < 5 {
			fmt.Println(finding)
		}
	}
	if len(s.findings) > 0 {
		fmt.Printf("the rule was broken: %d findings\n", len(s.findings))
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
