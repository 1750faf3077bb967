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

// agent is a scripted HTTP/3 server: handler n answers attempt n.
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

func (a *agent) seen() []*http.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

func answerAs(id func(string) string, size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, _ := payload.ParseQuery(r.URL.Query())
		w.Header().Set(payload.HeaderRequest, q.ID)
		w.Header().Set(payload.HeaderService, "bells")
		body := make([]byte, size)
		_, _ = payload.NewReader(id(q.ID)).Read(body)
		_, _ = w.Write(body)
	}
}

func own(id string) string { return id }

func refuse(status int, o request.Outcome, reason request.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOutcome, string(o))
		w.Header().Set(request.HeaderReason, string(reason))
		w.WriteHeader(status)
	}
}

func startPool(t *testing.T, certs *devcerts.Set, address netip.AddrPort) *Pool {
	t.Helper()
	p, err := New(Options{
		Service: "bells", Address: address, TLS: certs.Client(), Flows: 1,
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
	until(func() bool { return p.slots[0].Load() != nil })
	return p
}

func until(condition func() bool) {
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

func TestVerdictsAndRetries(t *testing.T) {
	certs := newCerts(t)
	get := RequestKind{Path: "/status", Idempotent: true, Size: testSize, Timeout: time.Minute}
	whole := answerAs(own, testSize)
	abort := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOwner, "127.0.0.1:1/1")
		w.WriteHeader(http.StatusEarlyHints)
		panic(http.ErrAbortHandler)
	}
	notRun := refuse(503, request.OutcomeNotRun, request.ReasonNoSlot)
	replayed := func(w http.ResponseWriter, r *http.Request) {
		q, _ := payload.ParseQuery(r.URL.Query())
		w.Header().Set(request.HeaderOutcome, string(request.OutcomeRan))
		body := make([]byte, testSize)
		_, _ = payload.NewReader(q.ID).Read(body)
		_, _ = w.Write(body)
	}
	unknown := refuse(502, request.OutcomeUnknown, request.ReasonUpstreamFailed)
	cases := []struct {
		name     string
		kind     RequestKind
		script   []http.HandlerFunc
		label    string
		attempts int
		count    func(Totals) uint64 // must be 1
	}{
		{"whole", post, []http.HandlerFunc{whole}, "ran", 1, nil},
		{"crossed", post, []http.HandlerFunc{answerAs(func(id string) string { return id + "x" }, testSize)}, "unknown/crossed", 1, func(t Totals) uint64 { return t.Mismatched }},
		{"short", post, []http.HandlerFunc{answerAs(own, testSize-1)}, "unknown/short", 1, func(t Totals) uint64 { return t.Truncated }},
		{"not run, then ran", post, []http.HandlerFunc{notRun, whole}, "ran", 2, func(t Totals) uint64 { return t.Refusals["not-run/no-slot"] }},
		{"never repeats after unknown", post, []http.HandlerFunc{unknown, whole}, "unknown/upstream-failed", 1, nil},
		{"idempotent repeats after unknown", get, []http.HandlerFunc{unknown, whole}, "ran", 2, nil},
		{"asks the owner after a reset", post, []http.HandlerFunc{abort, unknown}, "unknown/upstream-failed", 2, func(t Totals) uint64 { return t.Refusals["unknown/no-answer"] }},
		{"replayed", post, []http.HandlerFunc{notRun, replayed}, "ran", 2, nil},
		{"replayed without the answer", post, []http.HandlerFunc{refuse(200, request.OutcomeRan, "")}, "ran/answer-not-kept", 1, nil},
		{"gives up", post, []http.HandlerFunc{notRun}, "not-run/no-slot", maxAttempts, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := startAgent(t, certs, c.script...)
			p := startPool(t, certs, a.address)
			got := p.do(t.Context(), c.kind)
			is.Equal(got.label(), c.label)
			seen := a.seen()
			is.Equal(len(seen), c.attempts)
			if c.count != nil {
				is.Equal(c.count(p.o.Counters.Totals()), uint64(1))
			}
			for i, r := range seen[1:] {
				is.Equal(r.Header.Get(request.HeaderIdempotencyKey), seen[0].Header.Get(request.HeaderIdempotencyKey))
				is.Equal(r.Header.Get(payload.HeaderAttempt), string(rune('2'+i)))
			}
		})
	}
}

func TestOwnerOfAnInterimAnswerIsSentBack(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	const owner = "127.0.0.1:7000/42"
	interim := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(request.HeaderOwner, owner)
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del(request.HeaderOwner)
		refuse(503, request.OutcomeNotRun, request.ReasonNoSlot)(w, nil)
	}
	a := startAgent(t, certs, interim, answerAs(own, testSize))
	p := startPool(t, certs, a.address)
	is.True(p.Do(t.Context(), post))
	is.Equal(a.seen()[1].Header.Get(request.HeaderOwner), owner)
}

// An attempt that found no open flow was not sent: the next one is the first
// that an agent sees, and must not be taken for a retry.
func TestAttemptWithoutAFlowIsNotCounted(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	a := startAgent(t, certs, answerAs(own, testSize))
	p := startPool(t, certs, a.address)
	f := p.slots[0].Swap(nil)
	go func() {
		until(func() bool { return p.o.Counters.Totals().Refusals["not-run/no-flow"] > 0 })
		p.slots[0].Store(f)
	}()
	is.True(p.Do(t.Context(), post))
	is.Equal(a.seen()[0].Header.Get(payload.HeaderAttempt), "")
}

// After GOAWAY the next flow must be open before the old one is let go, and
// neither may count as broken.
func TestGoAwayMakesBeforeBreak(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	a := startAgent(t, certs, answerAs(own, testSize))
	p := startPool(t, certs, a.address)
	is.True(p.Do(t.Context(), post)) // the server's GOAWAY needs an idle, known connection
	old := p.slots[0].Load()
	next := startAgent(t, certs, answerAs(own, testSize))
	p.dialer.address.Store(net.UDPAddrFromAddrPort(next.address))
	go func() { _ = a.server.Shutdown(context.Background()) }()
	until(func() bool { return p.slots[0].Load() != old })
	until(func() bool { return p.o.Counters.Totals().FlowsReplaced == 1 })
	<-old.conn.Context().Done()
	is.True(p.Do(t.Context(), post))
	totals := p.o.Counters.Totals()
	is.Equal(totals.FlowsOpened, uint64(2))
	is.Equal(len(totals.FlowsBroken), 0)
}

func TestFlowClosedByThePeerIsBroken(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	a := startAgent(t, certs, answerAs(own, testSize))
	p := startPool(t, certs, a.address)
	p.o.Counters.SetCause(CauseCrash)
	_ = a.server.Close()
	until(func() bool { return p.o.Counters.Totals().FlowsBroken[CauseCrash] > 0 })
	is.Equal(p.o.Counters.Totals().FlowsBroken[CauseCrash], uint64(1))
}
