package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"

	"gooseberryreel/internal/history"
)

// recorder keeps the operations that targets and workers ran.
type recorder struct {
	mu         sync.Mutex
	limit      int
	operations []history.Operation
	dropped    int64
}

func (r *recorder) add(op history.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.operations) >= r.limit {
		r.dropped++
		return
	}
	r.operations = append(r.operations, op)
}

func (r *recorder) all() ([]history.Operation, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]history.Operation(nil), r.operations...), r.dropped
}

// historyAnswer writes one JSON line for each operation. It fails if the
// history is not complete, since a check of it would prove nothing.
func (s *RunningSite) historyAnswer() *answer {
	operations, dropped := s.History()
	if dropped > 0 {
		return refuse(http.StatusInsufficientStorage, "history lacks %d operations", dropped)
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, op := range operations {
		if err := encoder.Encode(op); err != nil {
			return refuse(http.StatusInternalServerError, "encode history: %v", err)
		}
	}
	a := newAnswer(http.StatusOK, lines.Bytes())
	a.header.Set("Content-Type", "application/x-ndjson")
	return a
}
