package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

type statusCommand struct {
	Entry   []string      `help:"HTTP address (IP:PORT) of an entry instance; repeatable." short:"e" required:""`
	Format  string        `help:"Output format." enum:"text,json" default:"text"`
	Timeout time.Duration `help:"Maximum wait for an instance." default:"5s"`
}

// instanceStatus is the status of one instance, or the error of fetching it.
type instanceStatus struct {
	Address string          `json:"address"`
	Status  json.RawMessage `json:"status,omitempty"`
	Error   string          `json:"error,omitempty"`
}

func (s *statusCommand) run(c *console) int {
	all := make([]instanceStatus, len(s.Entry))
	var fetches sync.WaitGroup
	for i, address := range s.Entry {
		fetches.Go(func() { all[i] = s.fetchStatus(c, address) })
	}
	fetches.Wait()
	code := exitOK
	for _, status := range all {
		if status.Error != "" {
			code = exitPartial
		}
	}
	if s.Format == "json" {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(all); err != nil {
			c.errorf("write: %v", err)
			return exitFailed
		}
		return code
	}
	for _, status := range all {
		printStatus(c, status)
	}
	return code
}

func (s *statusCommand) fetchStatus(c *console, address string) instanceStatus {
	body, err := fetch(c.ctx, address, "/v1/status", s.Timeout)
	if err == nil && !json.Valid(body) {
		err = fmt.Errorf("instance %s: /v1/status is not JSON", address)
	}
	if err != nil {
		return instanceStatus{Address: address, Error: err.Error()}
	}
	return instanceStatus{Address: address, Status: body}
}

// printStatus prints the status fields of an instance, one per line. The elements
// of a list are printed as JSON, one per line.
func printStatus(c *console, status instanceStatus) {
	if status.Error != "" {
		fmt.Fprintf(c.stdout, "%s: no answer: %s\n", status.Address, status.Error)
		return
	}
	fmt.Fprintf(c.stdout, "%s:\n", status.Address)
	var fields map[string]json.RawMessage
	if json.Unmarshal(status.Status, &fields) != nil {
		fmt.Fprintf(c.stdout, "  %s\n", status.Status)
		return
	}
	for _, name := range sortedNames(fields) {
		var list []json.RawMessage
		if json.Unmarshal(fields[name], &list) != nil {
			fmt.Fprintf(c.stdout, "  %s: %s\n", name, compact(fields[name]))
			continue
		}
		fmt.Fprintf(c.stdout, "  %s: %d\n", name, len(list))
		for _, element := range list {
			fmt.Fprintf(c.stdout, "    %s\n", compact(element))
		}
	}
}

func compact(value json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, value) != nil {
		return string(value)
	}
	return b.String()
}
