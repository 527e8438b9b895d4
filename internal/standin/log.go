package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"gooseberryreel/internal/remote/wire"
)

// Limits of the log service.
const (
	maxReadRecords = 10_000
	maxReadBytes   = 8 << 20
	maxReadWait    = 30 * time.Second
	maxStreams     = 1000
)

// logService emulates the log service.
type logService struct {
	server    *server
	retention time.Duration
	maxRecord int
	limiter   *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
}

// stream is the retained records of one stream.
type stream struct {
	first        int64 // offset of records[0]
	records      []wire.Record
	appendSignal chan struct{} // closed by the next append
}

func (st *stream) next() int64 { return st.first + int64(len(st.records)) }

func (st *stream) dropBefore(offset int64) {
	if n := offset - st.first; n > 0 {
		clear(st.records[:n]) // frees the data, since the array stays until append replaces it
		st.records = st.records[n:]
		st.first = offset
	}
}

func newLogService(srv *server, settings Log) *logService {
	l := &logService{
		server:    srv,
		retention: time.Duration(settings.RetentionMS) * time.Millisecond,
		maxRecord: settings.MaxRecordBytes,
		limiter:   rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), settings.AppendsPerSecond),
		streams:   make(map[string]*stream),
	}
	const path = "/v1/streams/{stream}/records"
	srv.handle(http.MethodPost, path, l.handleAppend)
	srv.handle(http.MethodGet, path, l.handleRead)
	return l
}

// stream trims the records past the retention and returns the stream, which it
// creates if necessary. It returns nil if there are too many streams. The caller
// holds mu.
func (l *logService) stream(name string) *stream {
	st := l.streams[name]
	if st == nil {
		if len(l.streams) >= maxStreams {
			return nil
		}
		st = &stream{appendSignal: make(chan struct{})}
		l.streams[name] = st
	}
	oldest := time.Now().Add(-l.retention).UnixMilli()
	firstKept := st.first
	for _, record := range st.records {
		if record.TimeMS >= oldest {
			break
		}
		firstKept++
	}
	st.dropBefore(firstKept)
	return st
}

func (l *logService) handleAppend(r *http.Request, _ Faults) *response {
	var request wire.AppendRequest
	if errResponse := decode(r, &request); errResponse != nil {
		return errResponse
	}
	if len(request.Records) == 0 {
		return errorResponse(http.StatusBadRequest, "no records")
	}
	for _, data := range request.Records {
		if len(data) > l.maxRecord {
			return errorResponse(http.StatusRequestEntityTooLarge, "record has %d bytes, the limit is %d", len(data), l.maxRecord)
		}
	}
	if !l.limiter.Allow() {
		return errorResponse(http.StatusTooManyRequests, "append rate exceeds %v per second", l.limiter.Limit())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(mux.Vars(r)["stream"])
	if st == nil {
		return errorResponse(http.StatusTooManyRequests, "more streams than %d", maxStreams)
	}
	first := st.next()
	now := time.Now().UnixMilli()
	for _, data := range request.Records {
		st.records = append(st.records, wire.Record{Offset: st.next(), TimeMS: now, Data: data})
	}
	close(st.appendSignal)
	st.appendSignal = make(chan struct{})
	return jsonResponse(http.StatusOK, wire.AppendResponse{FirstOffset: &first})
}

func (l *logService) handleRead(r *http.Request, _ Faults) *response {
	query := r.URL.Query()
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, errMax := strconv.Atoi(query.Get("max"))
	waitMS, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errFrom != nil || errMax != nil || errWait != nil || from < 0 || limit <= 0 || waitMS < 0 {
		return errorResponse(http.StatusBadRequest, "from, max and wait_ms must be integers; from and wait_ms must not be negative and max must be positive")
	}
	name := mux.Vars(r)["stream"]
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, appendSignal := l.read(name, from, min(limit, maxReadRecords))
		if appendSignal == nil {
			return errorResponse(http.StatusTooManyRequests, "more streams than %d", maxStreams)
		}
		if len(result.Records) > 0 || wait == 0 {
			return jsonResponse(http.StatusOK, result)
		}
		select {
		case <-appendSignal:
		case <-timer.C:
			return jsonResponse(http.StatusOK, result)
		case <-r.Context().Done():
			return jsonResponse(http.StatusOK, result)
		case <-l.server.closed:
			return jsonResponse(http.StatusOK, result)
		}
	}
}

// read returns up to limit records from an offset on and a channel that the next
// append closes. The channel is nil if there are too many streams.
func (l *logService) read(name string, from int64, limit int) (wire.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	if st == nil {
		return wire.ReadResponse{}, nil
	}
	first, next := st.first, st.next()
	result := wire.ReadResponse{FirstRetained: &first, Next: &next, Records: []wire.Record{}}
	size := 0
	for offset := max(from, first); offset < next && len(result.Records) < limit; offset++ {
		record := st.records[offset-first]
		size += len(record.Data)
		if size > maxReadBytes && len(result.Records) > 0 {
			break
		}
		result.Records = append(result.Records, record)
	}
	return result, st.appendSignal
}

// trim removes the records before an offset, as retention does.
func (l *logService) trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st := l.stream(name); st != nil {
		st.dropBefore(min(before, st.next()))
	}
}
