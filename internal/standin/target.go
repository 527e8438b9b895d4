package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/remote/wire"
)

// target emulates a target, which responds to the requests of one service.
type target struct {
	instance wire.Instance
	server   *server
	worker   *worker
	history  *recorder
	baseTime time.Duration
	jitter   time.Duration

	mu      sync.Mutex
	busy    int
	leaving bool
	rng     *rand.Rand
}

func newTarget(srv *server, instance wire.Instance, w *worker, group TargetGroup, site *siteState, seed uint64) *target {
	t := &target{
		instance: instance,
		server:   srv,
		worker:   w,
		history:  site.history,
		baseTime: time.Duration(group.ServiceTimeMS) * time.Millisecond,
		jitter:   time.Duration(group.ServiceJitterMS) * time.Millisecond,
		rng:      rand.New(rand.NewPCG(seed, 1)),
	}
	srv.handle(http.MethodPost, "/v1/invoke/{service}", t.handleInvoke)
	srv.connSet.onOverLimit = t.recordOverLimit
	return t
}

// ResponseBody returns the body of a stand-in target's response to a request.
func ResponseBody(requestID string, body []byte) []byte {
	return []byte(requestID + " " + digest(body))
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (t *target) handleInvoke(r *http.Request, f Faults) *response {
	op := history.Operation{
		Client: t.instance.Name,
		Kind:   "dispatch",
		ID:     r.Header.Get(wire.HeaderRequestID),
		Start:  time.Now().UnixNano(),
		Target: t.instance.Name,
		Worker: t.instance.Worker,
	}
	resp := t.invoke(r, f, &op)
	op.End = time.Now().UnixNano()
	op.Status = resp.status
	t.history.add(op)
	return resp
}

// invoke runs one request and sets the outcome of its operation in the history.
func (t *target) invoke(r *http.Request, f Faults, op *history.Operation) *response {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes || op.ID == "" || mux.Vars(r)["service"] != t.instance.Service {
		return t.notRunResponse(op, false)
	}
	busy, leaving := t.acquireSlot()
	if leaving || busy > t.instance.Slots {
		t.releaseSlot()
		return t.notRunResponse(op, leaving)
	}
	defer t.releaseSlot()
	t.server.sleep(t.serviceTime(busy))
	id := op.ID
	if f.WrongID {
		id = "other-" + id
	}
	resp := newResponse(http.StatusOK, ResponseBody(id, body))
	if f.FailStarted {
		resp.status = http.StatusInternalServerError
	}
	resp.header.Set(wire.HeaderRequestID, id)
	resp.header.Set("Content-Type", "text/plain")
	resp.closeConn = t.isLeaving()
	op.Outcome = "ran"
	op.Body = digest(resp.body)
	return resp
}

// notRunResponse returns the response to a request that was not run.
func (t *target) notRunResponse(op *history.Operation, leaving bool) *response {
	op.Outcome = "not_run"
	resp := newResponse(http.StatusServiceUnavailable, nil)
	resp.header.Set(wire.HeaderRequestID, op.ID)
	resp.header.Set(wire.HeaderNotRun, "true")
	resp.closeConn = leaving
	return resp
}

// acquireSlot acquires a slot, also beyond the limit, and returns the number of
// slots in use including this one.
func (t *target) acquireSlot() (busy int, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy++
	return t.busy, t.leaving
}

func (t *target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

func (t *target) isLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

func (t *target) setLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// serviceTime returns the service time of a request, with jitter and with the
// slowdown by colocated tasks.
func (t *target) serviceTime(busy int) time.Duration {
	d := t.baseTime
	if t.jitter > 0 {
		t.mu.Lock()
		d += time.Duration(t.rng.Int64N(int64(t.jitter)))
		t.mu.Unlock()
	}
	if t.worker == nil {
		return d
	}
	percent := t.worker.slowdown(t.instance.Service, busy, t.instance.Slots)
	return d * time.Duration(100+percent) / 100
}

// recordOverLimit records a connection beyond the target's connection limit, which
// G1 forbids.
func (t *target) recordOverLimit() {
	now := time.Now().UnixNano()
	t.history.add(history.Operation{
		Client:  t.instance.Name,
		Kind:    "connection",
		Start:   now,
		End:     now,
		Outcome: "refused",
		Target:  t.instance.Name,
	})
}
