package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go/http3"

	"crocusnotch/internal/devcerts"
	"crocusnotch/internal/request"
	"crocusnotch/internal/standin/payload"
)

const testSize = 1000

var post = RequestKind{Path: "/ring", Size: testSize, Timeout: time.Minute}

// agent is an HTTP/3 server that handles request n with script[n], and further
// requests with the last handler.
type agent struct {
	server  *http3.Server
	address netip.AddrPort

	mu       sync.Mutex
	script   []http.HandlerFunc
	requests []*http.Request
}

func startAgent(t *testing.T, certs *devcerts.Set, script ...http.HandlerFunc) *agent {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{script: script, address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	a.server = &http3.Server{
		Handler:   a,
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certs.Callers}}),
	}
	go func() { _ = a.server.Serve(conn) }()
	t.Cleanup(func() { _ = a.server.Close() })
	return a
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	n := len(a.requests)
	a.requests = append(a.requests, r)
	a.mu.Unlock()
	a.script[min(n, len(a.script)-1)](w, r)
}

func (a *agent) received() []*http.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

// respondAs returns a handler that responds with size bytes of the body for the ID
// that id returns for the request's ID.
func respondAs(id func(string) string, size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, _ := payload.ParseQuery(r.URL.Query())
		w.Header().Set(payload.HeaderRequest, q.ID)
		w.Header().Set(payload.HeaderService, "bells")
		body := make([]byte, size)
		_, _ = payload.NewReader(id(q.ID)).Read(body)
		_, _ = w.Write(body)
	}
}

func sameID(id string) string { return id }

func refuseWith(status int, o request.Outcome, reason request.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOutcome, string(o))
		w.Header().Set(request.HeaderReason, string(reason))
		w.WriteHeader(status)
	}
}

func startPool(t *testing.T, certs *devcerts.Set, address netip.AddrPort) *Pool {
	t.Helper()
	p, err := New(Options{
		Service: "bells", Address: address, TLS: certs.ClientTLS(), Flows: 1,
		Counters: NewCounters(), Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	waitUntil(func() bool { return p.slots[0].Load() != nil })
	return p
}

func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func newCerts(t *testing.T) *devcerts.Set {
	t.Helper()
	certs, err := devcerts.New(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return certs
}

func TestOutcomesAndRetries(t *testing.T) {
	certs := newCerts(t)
	get := RequestKind{Path: "/status", Idempotent: true, Size: testSize, Timeout: time.Minute}
	complete := respondAs(sameID, testSize)
	abort := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOwner, "127.0.0.1:1/1")
		w.WriteHeader(http.StatusEarlyHints)
		panic(http.ErrAbortHandler)
	}
	notRun := refuseWith(503, request.OutcomeNotRun, request.ReasonNoSlot)
	replay := func(w http.ResponseWriter, r *http.Request) {
		q, _ := payload.ParseQuery(r.URL.Query())
		w.Header().Set(request.HeaderOutcome, string(request.OutcomeRan))
		body := make([]byte, testSize)
		_, _ = payload.NewReader(q.ID).Read(body)
		_, _ = w.Write(body)
	}
	unknown := refuseWith(502, request.OutcomeUnknown, request.ReasonUpstreamFailed)
	cases := []struct {
		name     string
		kind     RequestKind
		script   []http.HandlerFunc
		label    string
		attempts int
		count    func(Totals) uint64 // a counter that must be 1; may be nil
	}{
		{"complete", post, []http.HandlerFunc{complete}, "ran", 1, nil},
		{"mismatched", post, []http.HandlerFunc{respondAs(func(id string) string { return id + "x" }, testSize)}, "unknown/crossed", 1, func(t Totals) uint64 { return t.Mismatched }},
		{"truncated", post, []http.HandlerFunc{respondAs(sameID, testSize-1)}, "unknown/short", 1, func(t Totals) uint64 { return t.Truncated }},
		{"not run, then ran", post, []http.HandlerFunc{notRun, complete}, "ran", 2, func(t Totals) uint64 { return t.Refusals["not-run/no-slot"] }},
		{"unknown outcome is not retried", post, []http.HandlerFunc{unknown, complete}, "unknown/upstream-failed", 1, nil},
		{"idempotent request is retried after unknown", get, []http.HandlerFunc{unknown, complete}, "ran", 2, nil},
		{"retry after a reset queries the owner", post, []http.HandlerFunc{abort, unknown}, "unknown/upstream-failed", 2, func(t Totals) uint64 { return t.Refusals["unknown/no-answer"] }},
		{"replayed", post, []http.HandlerFunc{notRun, replay}, "ran", 2, nil},
		{"replay without the response", post, []http.HandlerFunc{refuseWith(200, request.OutcomeRan, "")}, "ran/answer-not-kept", 1, nil},
		{"maximum of attempts", post, []http.HandlerFunc{notRun}, "not-run/no-slot", maxAttempts, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := startAgent(t, certs, c.script...)
			p := startPool(t, certs, a.address)
			got := p.do(t.Context(), c.kind)
			is.Equal(got.label(), c.label)
			received := a.received()
			is.Equal(len(received), c.attempts)
			if c.count != nil {
				is.Equal(c.count(p.opts.Counters.Totals()), uint64(1))
			}
			for i, r := range received[1:] {
				is.Equal(r.Header.Get(request.HeaderIdempotencyKey), received[0].Header.Get(request.HeaderIdempotencyKey))
				is.Equal(r.Header.Get(payload.HeaderAttempt), string(rune('2'+i)))
			}
		})
	}
}

func TestOwnerOfInterimResponseIsSentOnRetry(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	const owner = "127.0.0.1:7000/42"
	interim := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOwner, owner)
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del(request.HeaderOwner)
		refuseWith(503, request.OutcomeNotRun, request.ReasonNoSlot)(w, nil)
	}
	a := startAgent(t, certs, interim, respondAs(sameID, testSize))
	p := startPool(t, certs, a.address)
	is.True(p.Do(t.Context(), post))
	is.Equal(a.received()[1].Header.Get(request.HeaderOwner), owner)
}

// An attempt without an open flow is never sent. The next attempt is the first
// that an agent receives and must not be marked as a retry.
func TestAttemptWithoutAFlowIsNotCounted(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	a := startAgent(t, certs, respondAs(sameID, testSize))
	p := startPool(t, certs, a.address)
	f := p.slots[0].Swap(nil)
	go func() {
		waitUntil(func() bool { return p.opts.Counters.Totals().Refusals["not-run/no-flow"] > 0 })
		p.slots[0].Store(f)
	}()
	is.True(p.Do(t.Context(), post))
	is.Equal(a.received()[0].Header.Get(payload.HeaderAttempt), "")
}

// After GOAWAY the next flow must open before the old one closes, and neither may
// count as broken.
func TestGoAwayOpensNextFlowBeforeClosingOld(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	a := startAgent(t, certs, respondAs(sameID, testSize))
	p := startPool(t, certs, a.address)
	is.True(p.Do(t.Context(), post)) // the server sends GOAWAY only on registered, idle connections
	old := p.slots[0].Load()
	next := startAgent(t, certs, respondAs(sameID, testSize))
	p.dialer.address.Store(net.UDPAddrFromAddrPort(next.address))
	go func() { _ = a.server.Shutdown(context.Background()) }()
	waitUntil(func() bool { return p.slots[0].Load() != old })
	waitUntil(func() bool { return p.opts.Counters.Totals().FlowsReplaced == 1 })
	<-old.conn.Context().Done()
	is.True(p.Do(t.Context(), post))
	totals := p.opts.Counters.Totals()
	is.Equal(totals.FlowsOpened, uint64(2))
	is.Equal(len(totals.FlowsBroken), 0)
}

func TestFlowClosedByThePeerIsBroken(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	a := startAgent(t, certs, respondAs(sameID, testSize))
	p := startPool(t, certs, a.address)
	p.opts.Counters.SetCause(CauseCrash)
	_ = a.server.Close()
	waitUntil(func() bool { return p.opts.Counters.Totals().FlowsBroken[CauseCrash] > 0 })
	is.Equal(p.opts.Counters.Totals().FlowsBroken[CauseCrash], uint64(1))
}
