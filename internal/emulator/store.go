package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Fault says what happens to a call of the store.
type Fault int

// Faults of the store.
const (
	FaultNone Fault = iota
	// FaultUnavailable answers 503 and does nothing.
	FaultUnavailable
	// FaultLoseResponse carries the call out and breaks the connection.
	FaultLoseResponse
	// FaultDelayed breaks the connection and carries the call out later.
	FaultDelayed
	// FaultNoResponse does nothing and never answers.
	FaultNoResponse
)

// lateBy is when a call with FaultLate is carried out.
const lateBy = 300 * time.Millisecond

// Store is the metadata store. Endpoint opens an address of it for each caller,
// so that faults can concern some callers only.
type Store struct {
	log   *log
	calls atomic.Int64

	mu        sync.Mutex
	endpoints []*Endpoint
}

// Endpoint is an address of the store.
type Endpoint struct {
	store  *Store
	server *httptest.Server
	// choose returns the fault of a call, nil for none.
	choose atomic.Pointer[func(path string) Fault]
	// partition returns the fault of a call to a partition, nil for none.
	partition atomic.Pointer[func(topic string, part int) Fault]
	done      chan struct{}
	once      sync.Once
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{log: newLog()} }

// Calls returns the number of calls made.
func (s *Store) Calls() int64 { return s.calls.Load() }

// Endpoint opens an address.
func (s *Store) Endpoint() *Endpoint {
	e := &Endpoint{store: s, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-trim", s.trim)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	e.server = httptest.NewServer(e.inject(mux))
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	return e
}

// Close ends all endpoints.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.once.Do(func() { close(e.done) })
		e.server.CloseClientConnections()
		e.server.Close()
	}
}

// Address returns the host and port.
func (e *Endpoint) Address() string {
	u, err := url.Parse(e.server.URL)
	if err != nil {
		return e.server.URL // the server made the URL itself
	}
	return u.Host
}

// Inject sets the fault of each call by its path; nil ends all faults.
func (e *Endpoint) Inject(choose func(path string) Fault) {
	if choose == nil {
		e.choose.Store(nil)
		return
	}
	e.choose.Store(&choose)
}

// InjectPartitions sets the fault of each call to a partition; nil ends them.
func (e *Endpoint) InjectPartitions(choose func(topic string, part int) Fault) {
	if choose == nil {
		e.partition.Store(nil)
		return
	}
	e.partition.Store(&choose)
}

// CloseConnections breaks all open connections.
func (e *Endpoint) CloseConnections() { e.server.CloseClientConnections() }

func (e *Endpoint) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.store.calls.Add(1)
		fault := FaultNone
		if choose := e.choose.Load(); choose != nil {
			fault = (*choose)(r.URL.Path)
		}
		if choose := e.partition.Load(); choose != nil && fault == FaultNone {
			q := r.URL.Query()
			if part, ok := number(q, "part"); ok {
				fault = (*choose)(q.Get("Topic"), int(part))
			}
		}
		switch fault {
		case FaultNone:
			next.ServeHTTP(w, r)
		case FaultUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case FaultLoseResponse:
			next.ServeHTTP(httptest.NewRecorder(), r)
			hangUp(w)
		case FaultDelayed:
			body, _ := io.ReadAll(r.Body) // a cut body is an append that never arrived
			late := r.Clone(r.Context())
			time.AfterFunc(lateBy, func() {
				late.Body = io.NopCloser(&sliceReader{body})
				next.ServeHTTP(httptest.NewRecorder(), late)
			})
			hangUp(w)
		case FaultNoResponse:
			select {
			case <-r.Context().Done():
			case <-e.done:
			}
			hangUp(w)
		}
	})
}

type sliceReader struct{ data []byte }

func (s *sliceReader) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.data)
	s.data = s.data[n:]
	return n, nil
}

// hangUp breaks a connection without an answer.
func hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

func number(q url.Values, name string) (int64, bool) {
	n, err := strconv.ParseInt(q.Get(name), 10, 64)
	return n, err == nil
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		records = append(records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	q := r.URL.Query()
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	p := s.log.partition(q.Get("Topic"), q.Get("part"))
	var at *int64
	if n, ok := number(q, "At"); ok {
		at = &n
	}
	if !q.Has("Producer") {
		if at != nil && *at != p.end() {
			reply(w, http.StatusPreconditionFailed, map[string]any{"End": p.end()})
			return
		}
		offset, end := p.add(records)
		reply(w, http.StatusOK, map[string]any{"Offset": offset, "End": end})
		return
	}
	epoch, _ := number(q, "epoch")
	seq, _ := number(q, "Seq")
	o := p.produce(q.Get("Producer"), epoch, seq, at, records)
	reply(w, o.status, map[string]any{"Offset": o.offset, "End": o.end, "Reason": o.reason, "Seq": o.seq, "epoch": o.epoch})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := number(q, "From")
	wait, _ := number(q, "WaitMs")
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.log.mu.Lock()
		p := s.log.partition(q.Get("Topic"), q.Get("part"))
		if from < p.first {
			first := p.first
			s.log.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if from < p.end() || wait == 0 {
			data := encodeRead(p, from)
			s.log.mu.Unlock()
			_, _ = w.Write(data) // the caller may be gone
			return
		}
		grown := p.grown
		s.log.mu.Unlock()
		select {
		case <-grown:
		case <-limit.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRead(p *partition, from int64) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	data = binary.BigEndian.AppendUint64(data, uint64(p.first))
	for n := max(from-p.first, 0); n < int64(len(p.records)); n++ {
		data = binary.BigEndian.AppendUint32(data, uint32(len(p.records[n])))
		data = append(data, p.records[n]...)
	}
	return data
}

// newestPage is the number of records of a page. The real store's pages are
// larger; small ones exercise the paging.
const newestPage = 50

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	p := s.log.partition(q.Get("Topic"), q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > q.Get("After") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > newestPage
	if more {
		keys = keys[:newestPage]
	}
	items := []map[string]any{}
	for _, key := range keys {
		k := p.newest[key]
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(k.value), "Offset": k.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": p.end()})
}

func (s *Store) trim(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Topic  string
		Part   int `json:"part"`
		Before int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.partition(in.Topic, strconv.Itoa(in.Part)).trim(in.Before)
	reply(w, http.StatusOK, struct{}{})
}

type membership struct {
	Group  string `json:"group"`
	Member string
	TtlMs  int64
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var in membership
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	g := s.log.group(in.Group)
	g.join(in.Member, time.Duration(in.TtlMs)*time.Millisecond, time.Now())
	reply(w, http.StatusOK, map[string]any{"Generation": g.generation, "TtlMs": in.TtlMs, "parts": [][]any{}})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var in membership
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.group(in.Group).leave(in.Member, time.Now())
	reply(w, http.StatusOK, struct{}{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	g := s.log.group(r.URL.Query().Get("group"))
	g.expire(time.Now())
	rows := [][]any{}
	for n, m := range g.order {
		rows = append(rows, []any{"topic", n, m, 0})
	}
	reply(w, http.StatusOK, map[string]any{"Generation": g.generation, "parts": rows})
}

// Put writes a record of a keyed topic as the platform or a worker does. An
// empty value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.log.partition(topic, "0").add([][]byte{append(record, value...)})
}

// PutJSON is Put with a value encoded as JSON.
func (s *Store) PutJSON(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.Put(topic, key, data)
	return nil
}

// TrimTopic drops the history of a topic but for the newest record of each key.
func (s *Store) TrimTopic(topic string) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	p := s.log.partition(topic, "0")
	p.trim(p.end())
}
