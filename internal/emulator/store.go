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

	"gooseberryreel/internal/loopback"
)

// Fault selects how a call to the store fails.
type Fault int

// Faults of the store.
const (
	FaultNone Fault = iota
	// FaultUnavailable responds with status 503 without executing the call.
	FaultUnavailable
	// FaultLoseResponse executes the call and closes the connection without a
	// response.
	FaultLoseResponse
	// FaultDelayed closes the connection at once and executes the call later.
	FaultDelayed
	// FaultNoResponse neither executes the call nor responds, and keeps the
	// connection open.
	FaultNoResponse
)

// faultDelay is the time after which a call with FaultDelayed or CommandDelayed
// is executed.
const faultDelay = 300 * time.Millisecond

// Limits of an append, as the platform sets them.
const (
	MaxRecordBytes = 256 << 10
	MaxCallBytes   = 2 << 20
)

// Store is the metadata store. Endpoint opens a separate address for each caller,
// so that faults can be limited to some callers.
type Store struct {
	log   *log
	calls atomic.Int64
	// oversized counts the appends that were rejected for their size.
	oversized atomic.Int64
	// latency is added to each response, see SetLatency.
	latency   atomic.Int64
	appending sync.Map // locks of appends by partition

	mu        sync.Mutex
	endpoints []*Endpoint
}

// Endpoint is an address of the store.
type Endpoint struct {
	store  *Store
	server *httptest.Server
	// chooseFault returns the fault of a call by its path; nil for no faults.
	chooseFault atomic.Pointer[func(path string) Fault]
	// choosePartitionFault returns the fault of a call to a partition; nil for no
	// faults. It applies only to calls without a fault by their path.
	choosePartitionFault atomic.Pointer[func(topic string, part int) Fault]
	// chooseAppendFault is the same for appends.
	chooseAppendFault atomic.Pointer[func(topic string, records []AppendedRecord) Fault]
	repeater          atomic.Pointer[loopback.Repeater]
	done              chan struct{}
	once              sync.Once
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{log: newLog()} }

// Calls returns the number of calls received on all endpoints.
func (s *Store) Calls() int64 { return s.calls.Load() }

// Oversized returns the number of appends that were rejected for their size.
func (s *Store) Oversized() int64 { return s.oversized.Load() }

// Endpoint opens another address of the store.
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
	e.server = startServer(e.inject(mux), func() *loopback.Repetition { return e.repeater.Load().Draw() })
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	return e
}

// Close closes all endpoints.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.once.Do(func() { close(e.done) })
		e.server.CloseClientConnections()
		e.server.Close()
	}
}

// Address returns the host and port of the endpoint.
func (e *Endpoint) Address() string {
	u, err := url.Parse(e.server.URL)
	if err != nil {
		return e.server.URL // the server made the URL itself
	}
	return u.Host
}

// Inject sets the function that chooses the fault of each call by its path; nil
// clears it.
func (e *Endpoint) Inject(chooseFault func(path string) Fault) {
	if chooseFault == nil {
		e.chooseFault.Store(nil)
		return
	}
	e.chooseFault.Store(&chooseFault)
}

// InjectPartitions sets the function that chooses the fault of each call to a
// partition; nil clears it.
func (e *Endpoint) InjectPartitions(chooseFault func(topic string, part int) Fault) {
	if chooseFault == nil {
		e.choosePartitionFault.Store(nil)
		return
	}
	e.choosePartitionFault.Store(&chooseFault)
}

// CloseConnections closes all client connections.
func (e *Endpoint) CloseConnections() { e.server.CloseClientConnections() }

func (e *Endpoint) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.store.calls.Add(1)
		if d := time.Duration(e.store.latency.Load()); d > 0 && r.URL.Path != "/log-append" {
			time.Sleep(d)
		}
		fault := FaultNone
		if chooseFault := e.chooseFault.Load(); chooseFault != nil {
			fault = (*chooseFault)(r.URL.Path)
		}
		if chooseFault := e.choosePartitionFault.Load(); chooseFault != nil && fault == FaultNone {
			q := r.URL.Query()
			if part, ok := queryInt(q, "part"); ok {
				fault = (*chooseFault)(q.Get("Topic"), int(part))
			}
		}
		if chooseFault := e.chooseAppendFault.Load(); chooseFault != nil && fault == FaultNone && r.URL.Path == "/log-append" {
			fault = (*chooseFault)(r.URL.Query().Get("Topic"), peekRecords(r))
		}
		switch fault {
		case FaultNone:
			next.ServeHTTP(w, r)
		case FaultUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case FaultLoseResponse:
			next.ServeHTTP(httptest.NewRecorder(), r)
			closeWithoutResponse(w)
		case FaultDelayed:
			body, _ := io.ReadAll(r.Body) // an incomplete body is an append that never arrived
			late := r.Clone(r.Context())
			time.AfterFunc(faultDelay, func() {
				late.Body = io.NopCloser(&sliceReader{body})
				next.ServeHTTP(httptest.NewRecorder(), late)
			})
			closeWithoutResponse(w)
		case FaultNoResponse:
			select {
			case <-r.Context().Done():
			case <-e.done:
			}
			closeWithoutResponse(w)
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

// closeWithoutResponse closes the connection of a call.
func closeWithoutResponse(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

func queryInt(q url.Values, name string) (int64, bool) {
	n, err := strconv.ParseInt(q.Get(name), 10, 64)
	return n, err == nil
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	var records [][]byte
	total := 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			writeJSON(w, http.StatusBadRequest, nil)
			return
		}
		total += n
		if n > MaxRecordBytes || total > MaxCallBytes {
			s.oversized.Add(1)
			writeJSON(w, http.StatusBadRequest, nil)
			return
		}
		records = append(records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	q := r.URL.Query()
	s.delayAppend(q.Get("Topic") + "/" + q.Get("part"))
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	p := s.log.partition(q.Get("Topic"), q.Get("part"))
	var expectedEnd *int64
	if n, ok := queryInt(q, "At"); ok {
		expectedEnd = &n
	}
	if !q.Has("Producer") {
		if expectedEnd != nil && *expectedEnd != p.end() {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"End": p.end()})
			return
		}
		offset, end := p.add(records)
		writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": end})
		return
	}
	epoch, _ := queryInt(q, "epoch")
	seq, _ := queryInt(q, "Seq")
	result := p.produce(q.Get("Producer"), epoch, seq, expectedEnd, records)
	writeJSON(w, result.status, map[string]any{"Offset": result.offset, "End": result.end, "Reason": result.reason, "Seq": result.seq, "epoch": result.epoch})
}

// SetLatency delays each response. A partition carries out one append at a time, so
// that appends to it also wait for each other.
func (s *Store) SetLatency(d time.Duration) { s.latency.Store(int64(d)) }

// delayAppend waits for the earlier appends of a partition and for the latency.
func (s *Store) delayAppend(partition string) {
	d := time.Duration(s.latency.Load())
	if d <= 0 {
		return
	}
	lock, _ := s.appending.LoadOrStore(partition, new(sync.Mutex))
	mu := lock.(*sync.Mutex)
	mu.Lock()
	defer mu.Unlock()
	time.Sleep(d)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := queryInt(q, "From")
	wait, _ := queryInt(q, "WaitMs")
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.log.mu.Lock()
		p := s.log.partition(q.Get("Topic"), q.Get("part"))
		if from < p.first {
			first := p.first
			s.log.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if from < p.end() || wait == 0 {
			data := encodeRead(p, from)
			s.log.mu.Unlock()
			_, _ = w.Write(data) // the client may have disconnected
			return
		}
		appendSignal := p.appendSignal
		s.log.mu.Unlock()
		select {
		case <-appendSignal:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRead encodes the response to a read: the end and the first offset of the
// partition and its records from an offset on.
func encodeRead(p *partition, from int64) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	data = binary.BigEndian.AppendUint64(data, uint64(p.first))
	for n := max(from-p.first, 0); n < int64(len(p.records)); n++ {
		data = binary.BigEndian.AppendUint32(data, uint32(len(p.records[n])))
		data = append(data, p.records[n]...)
	}
	return data
}

// newestPageSize is the largest number of records in a page of newest records. The
// real store has larger pages; small ones exercise the paging.
const newestPageSize = 50

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
	more := len(keys) > newestPageSize
	if more {
		keys = keys[:newestPageSize]
	}
	items := []map[string]any{}
	for _, key := range keys {
		k := p.newest[key]
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(k.value), "Offset": k.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": p.end()})
}

func (s *Store) trim(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Topic  string
		Part   int `json:"part"`
		Before int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.partition(in.Topic, strconv.Itoa(in.Part)).trim(in.Before)
	writeJSON(w, http.StatusOK, struct{}{})
}

type membershipRequest struct {
	Group  string `json:"group"`
	Member string
	TtlMs  int64
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var in membershipRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	g := s.log.group(in.Group)
	g.join(in.Member, time.Duration(in.TtlMs)*time.Millisecond, time.Now())
	writeJSON(w, http.StatusOK, map[string]any{"Generation": g.generation, "TtlMs": in.TtlMs, "parts": [][]any{}})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var in membershipRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.group(in.Group).leave(in.Member, time.Now())
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	g := s.log.group(r.URL.Query().Get("group"))
	g.expire(time.Now())
	rows := [][]any{}
	for n, m := range g.joinOrder {
		rows = append(rows, []any{"topic", n, m, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Generation": g.generation, "parts": rows})
}
