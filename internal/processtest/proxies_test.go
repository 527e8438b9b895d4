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

var addressPattern = regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d{5}`)

// addressBook maps addresses to processes: the address of each process, and
// those of the proxies to it. Each ordered pair of processes has a proxy of its own,
// so that a test can inject faults into the connections between two processes alone.
type addressBook struct {
	mu          sync.Mutex
	destination map[string]*process
	proxies     map[[2]*process]*loopback.Proxy
}

func newAddressBook() *addressBook {
	return &addressBook{destination: make(map[string]*process), proxies: make(map[[2]*process]*loopback.Proxy)}
}

func (a *addressBook) add(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.destination[p.peer] = p
}

// proxy returns the proxy from one process to another.
func (a *addressBook) proxy(from, to *process) *loopback.Proxy {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proxyLocked(from, to)
}

func (a *addressBook) proxyLocked(from, to *process) *loopback.Proxy {
	key := [2]*process{from, to}
	if proxy := a.proxies[key]; proxy != nil {
		return proxy
	}
	proxy, err := loopback.New(to.peer, func(data []byte, toServer bool) []byte {
		if toServer {
			return a.rewriteFor(to, data)
		}
		return a.rewriteFor(from, data)
	})
	if err != nil {
		panic(err) // no test can continue without a free loopback port
	}
	if to.hasExited() {
		proxy.Close()
	}
	a.proxies[key], a.destination[proxy.Address] = proxy, to
	return proxy
}

// rewriteFor replaces the addresses of processes in data by those of the reader's
// proxies to them, and addresses of proxies to the reader by its own address.
func (a *addressBook) rewriteFor(reader *process, data []byte) []byte {
	if !bytes.Contains(data, []byte("127.")) {
		return data
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return addressPattern.ReplaceAllFunc(data, func(found []byte) []byte {
		destination := a.destination[string(found)]
		switch {
		case destination == nil:
			return found
		case destination == reader:
			return []byte(destination.peer)
		}
		return []byte(a.proxyLocked(reader, destination).Address)
	})
}

// exited refuses connections to a process that has exited, except through stalled
// proxies: a network partition hides the exit.
func (a *addressBook) exited(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, proxy := range a.proxies {
		if key[1] == p && !proxy.IsStalled() {
			proxy.Close()
		}
	}
}

func (a *addressBook) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, proxy := range a.proxies {
		proxy.Close()
	}
}

// platformProxy serves the log and the instance list to one process, with the
// addresses of entry processes replaced by those of the process's proxies.
type platformProxy struct {
	reader      *process
	addressBook *addressBook
	logURL      string
	listURL     string
	client      *http.Client
}

// ServeHTTP implements http.Handler.
func (p *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	base := p.logURL
	if r.URL.Path == "/v1/instances" {
		base = p.listURL
	}
	upstream, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	upstream.Header, upstream.ContentLength = r.Header.Clone(), r.ContentLength
	response, err := p.client.Do(upstream)
	if err != nil {
		panic(http.ErrAbortHandler) // no response, as from the platform itself
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.Header()[wire.HeaderCallID] = response.Header.Values(wire.HeaderCallID)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(p.rewrite(r, body)) // the process may have exited
}

func (p *platformProxy) rewrite(r *http.Request, body []byte) []byte {
	if r.URL.Path == "/v1/instances" {
		return p.addressBook.rewriteFor(p.reader, body)
	}
	var result wire.ReadResponse
	if r.Method != http.MethodGet || json.Unmarshal(body, &result) != nil || len(result.Records) == 0 {
		return body
	}
	for n := range result.Records {
		result.Records[n].Data = p.addressBook.rewriteFor(p.reader, result.Records[n].Data)
	}
	data, err := json.Marshal(result)
	if err != nil {
		return body
	}
	return data
}
