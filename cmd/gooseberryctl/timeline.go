package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"gooseberryreel/internal/events"
)

type timelineCommand struct {
	Entry    []string      `help:"HTTP address (IP:PORT) of an entry instance; repeatable." short:"e"`
	File     []string      `help:"Saved timeline file (JSON); repeatable." type:"path" short:"f"`
	ID       string        `help:"Only events of this request, job or publish id."`
	Instance string        `help:"Only events of this instance."`
	Worker   string        `help:"Only events of this worker."`
	Team     string        `help:"Only events of this team."`
	Format   string        `help:"Output format; json prints one event per line." enum:"text,json" default:"text"`
	Timeout  time.Duration `help:"Maximum wait for an instance." default:"5s"`
}

// Validate returns an error unless an instance or a file is given. kong calls it
// after parsing.
func (t *timelineCommand) Validate() error {
	if len(t.Entry) == 0 && len(t.File) == 0 {
		return fmt.Errorf("--entry or --file is required")
	}
	return nil
}

func (t *timelineCommand) run(c *console) int {
	timelines := make([][]events.Event, len(t.Entry)+len(t.File))
	failures := make([]error, len(timelines))
	var reads sync.WaitGroup
	for i, address := range t.Entry {
		reads.Go(func() { timelines[i], failures[i] = t.fetch(c, address) })
	}
	for i, file := range t.File {
		slot := len(t.Entry) + i
		reads.Go(func() { timelines[slot], failures[slot] = events.ReadFile(file) })
	}
	reads.Wait()
	code := exitOK
	for _, err := range failures {
		if err != nil {
			c.errorf("%v", err)
			code = exitPartial
		}
	}
	filter := events.Filter{ID: t.ID, Instance: t.Instance, Worker: t.Worker, Team: t.Team}
	encoder := json.NewEncoder(c.stdout)
	for _, e := range events.Merge(filter, timelines...) {
		if t.Format == "text" {
			fmt.Fprintln(c.stdout, e.Text())
			continue
		}
		if err := encoder.Encode(e); err != nil {
			c.errorf("write: %v", err)
			return exitFailed
		}
	}
	return code
}

func (t *timelineCommand) fetch(c *console, address string) ([]events.Event, error) {
	body, err := fetch(c.ctx, address, "/events", t.Timeout)
	if err != nil {
		return nil, err
	}
	return events.Read(address, bytes.NewReader(body))
}
