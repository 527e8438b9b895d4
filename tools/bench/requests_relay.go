package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gooseberryreel/internal/api"
	"gooseberryreel/internal/control"
	"gooseberryreel/internal/dispatch"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/requestid"
)

const (
	relayBodyBytes       = 512
	relayRounds          = 9
	relaySliceDuration   = 250 * time.Millisecond
	relayTargets         = 8
	relayPartitions      = 24
	relayMaxMessageBytes = 1 << 20
	relayConnections     = 64
	relayTimeout         = 10 * time.Second
)

// relayTarget is the plain HTTP client through which the bare relays call the
// target; the entry instances use the client of internal/remote.
type relayTarget struct {
	url    string
	client *http.Client
}

func (t *relayTarget) Invoke(ctx context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader(req.Body))
	if err != nil {
		return remote.TargetAnswer{}, &remote.InvokeError{Cause: err}
	}
	resp, err := t.client.Do(r)
	if err != nil {
		return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: err}
	}
	return remote.TargetAnswer{Status: resp.StatusCode, Body: body}, nil
}

// relayHarness runs the servers of all topologies in this process, on loopback.
type relayHarness struct {
	pool    *peer.Pool
	client  *http.Client
	closers []func()
	target  string
}

func newRelayHarness() (*relayHarness, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: relayConnections}
	s := &relayHarness{
		pool:   peer.NewPool(peer.Options{MaxConnections: relayConnections, DialTimeout: time.Second, MaxMessageBytes: relayMaxMessageBytes}),
		client: &http.Client{Transport: transport},
	}
	var err error
	s.target, err = s.serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// An HTTP/1 server must read the whole request before it writes a large
		// response.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// A failed write means that the caller has disconnected.
		_, _ = w.Write(body)
	}))
	return s, err
}

func (s *relayHarness) close() {
	s.client.CloseIdleConnections()
	s.pool.Close()
	for _, f := range s.closers {
		f()
	}
}

func (s *relayHarness) serveHTTP(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: relayTimeout}
	go server.Serve(listener)
	s.closers = append(s.closers, func() { server.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (s *relayHarness) servePeer(h pb.DRPCPeerServer) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.Serve(ctx, listener, h, relayMaxMessageBytes)
	}()
	s.closers = append(s.closers, func() { cancel(); <-done })
	return listener.Addr().String(), nil
}

// bareOwner is the peer server of the bare relay: no limits, request ids or
// records.
type bareOwner struct {
	pb.DRPCPeerUnimplementedServer
	target *relayTarget
}

func (o *bareOwner) Forward(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	answer, err := o.target.Invoke(ctx, remote.TargetRequest{Body: req.GetBody()})
	if err != nil {
		return nil, err
	}
	return &pb.ForwardReply{Status: int32(answer.Status), Body: answer.Body}, nil
}

// serveBareRelay serves the baseline of a forwarded request: HTTP to drpc to HTTP.
// It returns the URL.
func (s *relayHarness) serveBareRelay() (string, error) {
	address, err := s.servePeer(&bareOwner{target: &relayTarget{url: s.target, client: s.client}})
	if err != nil {
		return "", err
	}
	return s.serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
		defer cancel()
		var reply *pb.ForwardReply
		err = s.pool.Call(ctx, address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
			reply, err = client.Forward(ctx, &pb.ForwardRequest{Body: body})
			return err
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.WriteHeader(int(reply.GetStatus()))
		_, _ = w.Write(reply.GetBody())
	}))
}

type dispatchServer struct {
	pb.DRPCPeerUnimplementedServer
	d *dispatch.Dispatcher
}

func (p *dispatchServer) Forward(ctx context.Context, r *pb.ForwardRequest) (*pb.ForwardReply, error) {
	return p.d.Forward(ctx, r)
}

// startEntry starts an entry instance that owns the partitions of the targets, all
// other partitions, or both, and returns the URL for requests and the peer
// address. otherAddress is the peer address of the owner of the rest.
func (s *relayHarness) startEntry(name string, ownsTargets, ownsOthers bool, otherAddress string) (httpURL, peerAddress string, err error) {
	settings := &pb.RequestSettings{
		MaxBodyBytes: relayMaxMessageBytes, MaxAnswerBytes: relayMaxMessageBytes, MaxHeaderBytes: 16 << 10,
		DefaultTimeoutMs: relayTimeout.Milliseconds(), MaxTimeoutMs: relayTimeout.Milliseconds(), ClockSkewMs: 2000,
		RetentionMs: 60_000, MaxStoredAnswers: 200_000, MaxStoredBytes: 64 << 20, QueueLength: 200,
		RetryBudgetPercent: 10, MaxAttempts: 3, ProgressTimeoutMs: 1000,
	}
	view := relayView(name, ownsTargets, ownsOthers, otherAddress)
	recorder := events.NewRecorder(name, 1000, events.NewClock(time.Now))
	registry := prometheus.NewRegistry()
	views := func() *control.View { return view }
	d := dispatch.New(dispatch.Options{
		Settings: settings, Views: views, Pool: s.pool, Events: recorder, Registry: registry, Seed: 1,
		NewTarget: func(i remote.Instance) remote.Target {
			return remote.NewHTTPTarget(i.Name, strings.TrimPrefix(s.target, "http://"), relayConnections, relayMaxMessageBytes)
		},
	})
	peerAddress, err = s.servePeer(&dispatchServer{d: d})
	if err != nil {
		return "", "", err
	}
	httpURL, err = s.serveHTTP(api.New(api.Options{Dispatcher: d, Views: views, Events: recorder, Gatherer: registry, Settings: settings}))
	return httpURL + "/v1/services/pickbook/requests", peerAddress, err
}

func relayView(name string, ownsTargets, ownsOthers bool, otherAddress string) *control.View {
	view := &control.View{
		Instance: name, Incarnation: 1, Domain: "perth-hills", LogReadable: true,
		Config:     &control.Config{Services: map[string]*pb.Service{"pickbook": {}}},
		Partitions: make([]control.Partition, relayPartitions+1),
	}
	targetPartition := make(map[int]bool)
	for i := range relayTargets {
		inst := remote.Instance{
			Name: fmt.Sprintf("target-%d", i), Kind: remote.KindTarget, Domain: view.Domain, Address: "127.0.0.1:0",
			State: remote.StateLive, Service: "pickbook", Slots: 8, Connections: 64,
		}
		view.Targets = append(view.Targets, inst)
		targetPartition[requestid.Partition(inst.Name, relayPartitions)] = true
	}
	for i := range view.Partitions {
		own := ownsOthers
		if targetPartition[i] {
			own = ownsTargets
		}
		view.Partitions[i] = control.Partition{
			Owner: "other", OwnerAddress: otherAddress, Epoch: 1, Own: own, Clean: true,
			EffectiveAt: time.Now().Add(-time.Hour), ActUntil: time.Now().Add(time.Hour),
		}
	}
	return view
}

// serveBareHTTPRelay serves the baseline of an instance that owns the target: HTTP
// to HTTP. It returns the URL.
func (s *relayHarness) serveBareHTTPRelay() (string, error) {
	target := &relayTarget{url: s.target, client: s.client}
	return s.serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := target.Invoke(r.Context(), remote.TargetRequest{Body: body})
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
	}))
}

type topology struct {
	name string
	url  string
}

func (s *relayHarness) startTopologies() ([]topology, error) {
	relay, err := s.serveBareRelay()
	if err != nil {
		return nil, err
	}
	httpRelay, err := s.serveBareHTTPRelay()
	if err != nil {
		return nil, err
	}
	local, _, err := s.startEntry("local", true, true, "")
	if err != nil {
		return nil, err
	}
	_, owner, err := s.startEntry("owner", true, false, "")
	if err != nil {
		return nil, err
	}
	receiver, _, err := s.startEntry("front", false, true, owner)
	if err != nil {
		return nil, err
	}
	return []topology{{"bare relay", relay}, {"direct", s.target}, {"entry plus owner", receiver}, {"bare HTTP relay", httpRelay}, {"owner-local", local}}, nil
}
