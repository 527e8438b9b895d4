package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
)

// maxInstances limits the number of visible instances and pending changes.
const maxInstances = 10_000

// instanceList emulates the instance list. Changes appear after a lag.
type instanceList struct {
	lag time.Duration

	mu      sync.Mutex
	visible map[string]wire.Instance
	pending []listChange // in time order
}

// listChange adds or replaces an instance, or removes it if instance is nil.
type listChange struct {
	at       time.Time
	name     string
	instance *wire.Instance
}

func newInstanceList(srv *server, settings List) *instanceList {
	l := &instanceList{
		lag:     time.Duration(settings.LagMS) * time.Millisecond,
		visible: make(map[string]wire.Instance),
	}
	srv.handle(http.MethodGet, "/v1/instances", l.handleList)
	srv.handle(http.MethodPost, "/v1/instances", l.handleRegister)
	srv.handle(http.MethodDelete, "/v1/instances/{name}", l.handleRemove)
	return l
}

func (l *instanceList) handleList(r *http.Request, _ Faults) *response {
	listing := l.listing(time.Now())
	tag, err := entityTag(listing.Instances)
	if err != nil {
		return newResponse(http.StatusInternalServerError, nil)
	}
	resp := newResponse(http.StatusNotModified, nil)
	if r.Header.Get("If-None-Match") != tag {
		resp = jsonResponse(http.StatusOK, listing)
	}
	resp.header.Set("ETag", tag)
	resp.header.Set(wire.HeaderAsOf, strconv.FormatInt(listing.AsOfMS, 10))
	return resp
}

// entityTag returns an entity tag that changes with the instances.
func entityTag(rows []wire.Instance) (string, error) {
	data, err := json.Marshal(rows)
	return fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16)), err
}

// listing returns the list as of one lag before now.
func (l *instanceList) listing(now time.Time) wire.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-l.lag)
	l.applyUntil(asOf)
	listing := wire.Listing{AsOfMS: asOf.UnixMilli(), Instances: []wire.Instance{}}
	for _, instance := range l.visible {
		listing.Instances = append(listing.Instances, instance)
	}
	slices.SortFunc(listing.Instances, func(a, b wire.Instance) int { return strings.Compare(a.Name, b.Name) })
	return listing
}

// applyUntil applies the pending changes up to a time. The caller holds mu.
func (l *instanceList) applyUntil(asOf time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(asOf) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
}

// apply makes one change visible. The caller holds mu.
func (l *instanceList) apply(change listChange) {
	if change.instance == nil {
		delete(l.visible, change.name)
		return
	}
	l.visible[change.name] = *change.instance
}

func (l *instanceList) handleRegister(r *http.Request, _ Faults) *response {
	var instance wire.Instance
	if errResponse := decode(r, &instance); errResponse != nil {
		return errResponse
	}
	if instance.State == "" {
		instance.State = string(remote.StateLive)
	}
	validState := instance.State == string(remote.StateLive) || instance.State == string(remote.StateLeaving)
	if instance.Name == "" || instance.Domain == "" || instance.Address == "" || !validState {
		return errorResponse(http.StatusBadRequest, "name, domain and address are required, and state must be live or leaving")
	}
	if instance.Kind != string(remote.KindEntry) {
		return errorResponse(http.StatusBadRequest, "kind is %q, but only entry instances can be registered", instance.Kind)
	}
	if !l.change(instance.Name, &instance) {
		return errorResponse(http.StatusTooManyRequests, "more instances than %d", maxInstances)
	}
	return jsonResponse(http.StatusOK, struct{}{})
}

func (l *instanceList) handleRemove(r *http.Request, _ Faults) *response {
	l.change(mux.Vars(r)["name"], nil)
	return jsonResponse(http.StatusOK, struct{}{})
}

// change records a change that becomes visible after the lag. It returns false if
// the list is full.
func (l *instanceList) change(name string, instance *wire.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.applyUntil(now.Add(-l.lag))
	if len(l.visible)+len(l.pending) >= maxInstances {
		return false
	}
	l.pending = append(l.pending, listChange{at: now, name: name, instance: instance})
	return true
}

// set adds or replaces an instance without the lag.
func (l *instanceList) set(instance wire.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visible[instance.Name] = instance
}
