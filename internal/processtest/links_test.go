package processtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"sync"

	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/remote/wire"
)

var addressPattern = regexp.MustCompile(`127\.0\.0\.[12]:\d{5}`)

// addresses maps each address at which an entry process is known to the
// process, so that every reader is told the address of its own link.
type addresses struct {
	mu    sync.Mutex
	owner map[string]*process
	links map[[2]*process]*loopback.Proxy
}

func newAddresses() *addresses {
	return &addresses{owner: make(map[string]*process), links: make(map[[2]*process]*loopback.Proxy)}
}

func (a *addresses) add(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owner[p.peer] = p
}

// link returns the link from one process to another.
func (a *addresses) link(from, to *process) *loopback.Proxy {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.linkLocked(from, to)
}

func (a *addresses) linkLocked(from, to *process) *loopback.Proxy {
	key := [2]*process{from, to}
	if l := a.links[key]; l != nil {
		return l
	}
	l, err := loopback.New(to.peer, func(data []byte, toServer bool) []byte {
		if toServer {
			return a.rewriteFor(to, data)
		}
		return a.rewriteFor(from, data)
	})
	if err != nil {
		panic(err) // without a free loopback port no test can go on
	}
	if to.hasEnded() {
		l.Close()
	}
	a.links[key], a.owner[l.Address] = l, to
	return l
}

// rewriteFor replaces the addresses of entry processes by those that the reader
// is to use.
func (a *addresses) rewriteFor(reader *process, data []byte) []byte {
	if !bytes.Contains(data, []byte("127.0.0.")) {
		return data
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return addressPattern.ReplaceAllFunc(data, func(found []byte) []byte {
		owner := a.owner[string(found)]
		switch {
		case owner == nil:
			return found
		case owner == reader:
			return []byte(owner.peer)
		}
		return []byte(a.linkLocked(reader, owner).Address)
	})
}

// ended refuses connections to a process that has ended, except over links that
// are silent: a partition hides the end.
func (a *addresses) ended(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, l := range a.links {
		if key[1] == p && !l.IsStalled() {
			l.Close()
		}
	}
}

func (a *addresses) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		l.Close()
	}
}

// platformView serves the log and the list to one process, with the addresses
// of entry processes replaced by those of its links.
type platformView struct {
	reader    *process
	addresses *addresses
	logURL    string
	listURL   string
	client    *http.Client
}

// ServeHTTP implements http.Handler.
func (v *platformView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	base := v.logURL
	if r.URL.Path == "/v1/instances" {
		base = v.listURL
	}
	call, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call.Header, call.ContentLength = r.Header.Clone(), r.ContentLength
	answer, err := v.client.Do(call)
	if err != nil {
		panic(http.ErrAbortHandler) // no answer, as without this view
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(v.rewrite(r, body)) // the process may have ended
}

func (v *platformView) rewrite(r *http.Request, body []byte) []byte {
	if r.URL.Path == "/v1/instances" {
		return v.addresses.rewriteFor(v.reader, body)
	}
	var reply wire.ReadReply
	if r.Method != http.MethodGet || json.Unmarshal(body, &reply) != nil || len(reply.Records) == 0 {
		return body
	}
	for n := range reply.Records {
		reply.Records[n].Data = v.addresses.rewriteFor(v.reader, reply.Records[n].Data)
	}
	data, err := json.Marshal(reply)
	if err != nil {
		return body
	}
	return data
}
