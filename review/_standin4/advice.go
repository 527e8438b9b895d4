package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gooseberryreel/internal/loopback"
)

// startAdvice starts the advice service and returns its address. It handles the calls of
// a machine one after the other, and drops those whose caller has gone.
func (p *platform) startAdvice() string {
	listener, err := loopback.Listen()
	if err != nil {
		fatal("listen: %v", err)
	}
	var turn sync.Mutex
	var waiting atomic.Int64
	var issued atomic.Int64
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var in struct {
			Phase   string
			Workers []string
		}
		if r.URL.Path != "/advise" || json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if waiting.Add(1) > 32 {
			waiting.Add(-1)
			rw.WriteHeader(http.StatusTooManyRequests)
			return
		}
		defer waiting.Add(-1)
		turn.Lock()
		defer turn.Unlock()
		if r.Context().Err() != nil {
			return
		}
		time.Sleep(time.Duration(p.decideMs+p.eachMs*int64(len(in.Workers))) * time.Millisecond)
		rows := [][]any{}
		p.mu.Lock()
		for _, id := range in.Workers {
			for _, w := range p.workers {
				if w.id == id && !w.dead && p.adviceMay(in.Phase, id) {
					text := fmt.Sprintf("t-%d", issued.Add(1))
					p.tickets[text] = ticket{in.Phase, w, time.Now().Add(time.Duration(p.ticketMs) * time.Millisecond)}
					rows = append(rows, []any{id, text})
				}
			}
		}
		p.mu.Unlock()
		p.logf("advice for %s on %d workers: %d granted", in.Phase, len(in.Workers), len(rows))
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"Granted": rows, "ValidMs": p.ticketMs})
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}
