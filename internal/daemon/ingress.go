package daemon

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"gooseberryreel/internal/ingress"
	"gooseberryreel/internal/pb"
)

const (
	// readHeaderTimeout limits the time in which a caller sends the headers.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 60 * time.Second
	// writeTimeout limits the time from the headers of a request to its whole response.
	// It is longer than a body may take.
	writeTimeout = 45 * time.Second
	// probeTimeout limits a request for the readiness or the metrics, and its response.
	probeTimeout = 5 * time.Second
	// maxMetricsRequests limits the concurrent requests for metrics.
	maxMetricsRequests = 4
	// maxProbeConnections limits the connections for the readiness check, and those for
	// metrics.
	maxProbeConnections = 64

	// defaultMaxFDs and defaultMaxHeaderBytes apply if the settings don't set the limits.
	defaultMaxFDs         = 4096
	defaultMaxHeaderBytes = 16 << 10
	// reservedFDs are the descriptors that are not used for sockets.
	reservedFDs = 200

	// bodyMemoryShare is the part of the machine's memory for the bodies of requests.
	bodyMemoryShare = 1.0 / 8
	// minBodies is how many of the largest bodies, decoded, have room in any case.
	minBodies = 8
	// messageMemoryShare is the part of the machine's memory for messages of other
	// instances.
	messageMemoryShare = 1.0 / 8
	// minMessageMemory has room for some of the largest messages.
	minMessageMemory = 8 << 20
	// connectionMemoryShare is the part of the machine's memory for the connections of
	// callers.
	connectionMemoryShare = 1.0 / 4
	// connectionBytes is the memory of a connection with a small request in work.
	connectionBytes = 48 << 10
	// minConnections is the smallest limit of connections, whatever the memory.
	minConnections = 64
	// refusalSummaryInterval is the shortest time between two log lines about refused
	// bodies and closed connections.
	refusalSummaryInterval = 10 * time.Second
)

// Names of the listeners in metrics and logs.
const (
	callersListener   = "callers"
	readinessListener = "readiness"
	metricsListener   = "metrics"
	peersListener     = "peers"
)

// ingressLimits are the limits for what others send to an instance.
type ingressLimits struct {
	bodies         *ingress.Budget
	messages       *ingress.Budget // of other instances
	maxConnections map[string]int  // by name of the listener
	maxHeaderBytes int
	log            *logrus.Entry

	refused *prometheus.CounterVec
	evicted *prometheus.CounterVec

	mu       sync.Mutex
	notShown map[string]int // refusals since the newest log line
	summary  rate.Sometimes
}

func newIngressLimits(s *pb.SchedulerSettings, r prometheus.Registerer, log *logrus.Entry) *ingressLimits {
	memory := float64(s.GetMemoryMib() << 20)
	fds := int(s.GetMaxFds())
	if fds <= 0 {
		fds = defaultMaxFDs
	}
	sockets := max(fds-reservedFDs, 0)
	l := &ingressLimits{
		maxConnections: map[string]int{
			callersListener:   max(min(sockets/2, int(memory*connectionMemoryShare)/connectionBytes), minConnections),
			peersListener:     max(sockets/4, minConnections),
			readinessListener: maxProbeConnections,
			metricsListener:   maxProbeConnections,
		},
		maxHeaderBytes: int(s.GetMaxHeaderBytes()), log: log, notShown: make(map[string]int),
		summary: rate.Sometimes{Interval: refusalSummaryInterval},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ingress_refused_bodies_total", Help: "Bodies of requests that were not read to their end by reason.",
		}, []string{"reason"}),
		evicted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ingress_evicted_connections_total", Help: "Connections closed at the limit of open connections by listener and reason.",
		}, []string{"listener", "reason"}),
	}
	if l.maxHeaderBytes <= 0 {
		l.maxHeaderBytes = defaultMaxHeaderBytes
	}
	largest := newRecordLimits(s.GetStore()).record
	l.bodies = ingress.NewBudget(max(int64(memory*bodyMemoryShare), minBodies*ingress.MemoryOf(int64(largest))), func(reason string) {
		l.refused.WithLabelValues(reason).Inc()
		l.summarize("body: " + reason)
	})
	l.messages = ingress.NewBudget(max(int64(memory*messageMemoryShare), minMessageMemory), func(string) {
		l.evicted.WithLabelValues(peersListener, "memory").Inc()
		l.summarize(peersListener + " connection: memory")
	})
	r.MustRegister(l.refused, l.evicted, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ingress_body_bytes", Help: "Memory of the bodies of requests in work.",
	}, func() float64 { return float64(l.bodies.Used()) }))
	return l
}

// listen opens a listener that limits its connections.
func (l *ingressLimits) listen(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, errors.Errorf("%s is no TCP address", address)
	}
	options := ingress.ListenerOptions{
		MaxConnections: l.maxConnections[name],
		Evicted: func(reason string) {
			l.evicted.WithLabelValues(name, reason).Inc()
			l.summarize(name + " connection: " + reason)
		},
	}
	if name == peersListener {
		options.Messages = l.messages
	}
	return ingress.NewListener(tcp, options), nil
}

// newServer returns a server for a listener of listen.
func (l *ingressLimits) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: ingress.Handler(h), ConnContext: ingress.ConnContext, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: l.maxHeaderBytes, ErrorLog: debugLogger(l.log),
		// net/http would answer without the handler.
		DisableGeneralOptionsHandler: true,
	}
}

// bufferResponses serves responses only once next has returned, so that clients that do not
// read them hold none of the requests that next serves at a time.
func bufferResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(b, r)
		w.WriteHeader(b.status)
		_, _ = w.Write(b.body.Bytes()) // the client may have disconnected
	})
}

// bufferedResponse is the http.ResponseWriter of bufferResponses.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header         { return b.header }
func (b *bufferedResponse) WriteHeader(status int)      { b.status = status }
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// summarize counts a refusal and logs the counts from time to time.
func (l *ingressLimits) summarize(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notShown[what]++
	l.summary.Do(func() {
		l.log.WithFields(logrus.Fields{"event": "load from outside limited", "refused": l.notShown, "body_bytes": l.bodies.Used()}).Warn("call")
		clear(l.notShown)
	})
}
