package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"

	"gooseberryreel/internal/history"
)

// recorder stores the operations of targets and workers up to a limit.
type recorder struct {
	mu         sync.Mutex
	limit      int
	operations []history.Operation
	dropped    int64 // operations beyond the limit
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

// historyResponse returns the history as JSON lines, one for each operation. It
// fails if the history is incomplete, since a check of it would prove nothing.
func (s *RunningSite) historyResponse() *response {
	operations, dropped := s.History()
	if dropped > 0 {
		return errorResponse(http.StatusInsufficientStorage, "history is incomplete: %d operations exceeded its limit", dropped)
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, op := range operations {
		if err := encoder.Encode(op); err != nil {
			return errorResponse(http.StatusInternalServerError, "encode history: %v", err)
		}
	}
	resp := newResponse(http.StatusOK, lines.Bytes())
	resp.header.Set("Content-Type", "application/x-ndjson")
	return resp
}
