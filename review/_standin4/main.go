// Command standin4 plays the cases of the third review against scheduler processes.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func main() {
	if len(os.Args) < 4 {
		fatal("usage: standin4 CASE RECORD DIR")
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fatal("record: %v", err)
	}
	p := newPlatform(record)
	p.adviceMay = func(string, string) bool { return true }
	go p.advance()
	trouble := os.Getenv("TROUBLE") != "0"
	p.logf("case %s, trouble %v", os.Args[1], trouble)
	cases := map[string]func(*platform, string, bool){
		"long": longCase, "advice": adviceCase, "memory": memoryCase, "ticket": ticketCase, "away": awayCase, "soak": soak,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fatal("no case %q", os.Args[1])
	}
	if s, err := strconv.ParseFloat(os.Getenv("STATUS_S"), 64); err == nil {
		p.statusS = s
	}
	play(p, os.Args[3], trouble)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logf("%d starts, %d rules broken", p.starts, len(p.violations))
	for n, v := range p.violations {
		if n < 10 {
			fmt.Println("broken:", v)
		}
	}
	if len(p.violations) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}

var zones = []string{"perth-hills", "donnybrook", "margaret-river"}

// deployment starts instances in three zones.
func (p *platform) deployment(dir string, instances int) []*process {
	advice := p.startAdvice()
	p.publishConfig()
	var list []*process
	for n := range instances {
		list = append(list, p.startProcess(dir, fmt.Sprintf("edge-%d", n), zones[n%len(zones)], advice, p.statusS))
	}
	waitReady(list)
	time.Sleep(4 * time.Second) // an owner is elected and has adopted the workers
	return list
}

func closeAll(list []*process) {
	for _, i := range list {
		i.close()
	}
}
