package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

// testBench is a small fleet in one synctest bubble.
type testBench struct {
	t               *testing.T
	is              *is.I
	net             *memoryNetwork
	cluster         *fakeCluster
	agents          []*testAgent
	callers         []*caller
	lastIncarnation uint64
	pause           *lifecycle.PauseDetector // of all agents
	suspended       atomic.Int64             // nanoseconds by which the clock of pause is ahead
}

// testAgent is an agent with its upstream.
type testAgent struct {
	*Agent
	number          int
	fleet           *fakeFleet
	cancel          context.CancelFunc
	done            chan struct{} // closed when Run has returned err
	err             error
	upstream        *http.Server
	announceStopped chan struct{} // closed to end the announcements
	stopOnce        sync.Once
}

func addr(n, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.23.0.%d:%d", n, port))
}

// inBubble runs a test on a fleet of agents whose upstreams use the handlers.
func inBubble(t *testing.T, test func(b *testBench), upstreams ...http.Handler) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t)
		t.Cleanup(b.end)
		for i, h := range upstreams {
			b.startAgent(i+1, h)
		}
		b.rotateCandidates()
		// Wait until announcements, records and load reports have arrived.
		time.Sleep(2 * time.Second)
		test(b)
	})
}

func newTestBench(t *testing.T) *testBench {
	b := &testBench{
		t: t, is: is.New(t),
		net:     newMemoryNetwork(testRing(1), 7),
		cluster: &fakeCluster{config: testConfig(1, false), members: map[netip.AddrPort]membership.Record{}},
	}
	started := time.Now()
	b.pause = lifecycle.NewPauseDetectorWithClock(func() time.Duration {
		return time.Since(started) + time.Duration(b.suspended.Load())
	})
	for i := range 3 {
		e := &testEntry{addr: addr(100+i, 1)}
		b.net.entries = append(b.net.entries, e)
		b.cluster.members[e.addr] = membership.Record{Addr: e.addr, Role: membership.RoleEntry, State: membership.StateReady}
	}
	return b
}

// rotateCandidates sets all agents as candidates of every entry, with a different
// first candidate at each entry.
func (b *testBench) rotateCandidates() {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	for i, e := range b.net.entries {
		e.candidates = nil
		for j := range b.agents {
			e.candidates = append(e.candidates, b.agents[(i+j)%len(b.agents)].settings.Data)
		}
	}
}

// setCandidates sets the same candidates at every entry.
func (b *testBench) setCandidates(agents ...*testAgent) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	for _, e := range b.net.entries {
		e.candidates = nil
		for _, a := range agents {
			e.candidates = append(e.candidates, a.settings.Data)
		}
	}
}

func (b *testBench) startAgent(n int, upstream http.Handler) *testAgent {
	a := b.newAgent(n)
	a.upstream = &http.Server{Handler: upstream, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	l, err := b.net.Listen(addr(n, 9000))
	b.is.NoErr(err)
	go func() { _ = a.upstream.Serve(l) }()
	go b.keepAnnouncing(a)
	b.agents = append(b.agents, a)
	return a
}

// restart starts a new agent in place of a killed one, with the same upstream.
func (b *testBench) restart(old *testAgent) *testAgent {
	old.stopAnnouncing()
	a := b.newAgent(old.number)
	a.upstream = old.upstream
	go b.keepAnnouncing(a)
	return a
}

// newAgent starts an agent without an upstream.
func (b *testBench) newAgent(n int) *testAgent {
	b.lastIncarnation++
	f := &fakeFleet{cluster: b.cluster, events: explain.NewRing("test", 64)}
	f.own = membership.Record{Addr: addr(n, 1), Role: membership.RoleAgent, Incarnation: b.lastIncarnation}
	a := &testAgent{number: n, fleet: f, done: make(chan struct{}), announceStopped: make(chan struct{})}
	s := config.Agent{
		Process: config.Process{Zone: "a", Data: addr(n, 1)},
		Relay:   addr(n, 2), Announce: addr(n, 3),
	}
	var err error
	a.Agent, err = New(s, Deps{
		Log: slog.New(slog.DiscardHandler), Registry: newTestRegistry(),
		TLS: wire.NewMutualTLS(testCert, testPool()), CallerCert: &testCert,
		Fleet: f, Network: b.net, Incarnation: b.lastIncarnation, Pause: b.pause,
	})
	b.is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go func() {
		a.err = a.Run(ctx)
		close(a.done)
	}()
	return a
}

// keepAnnouncing renews the upstream's lease until the test ends it.
func (b *testBench) keepAnnouncing(a *testAgent) {
	for {
		b.announce(a, "warm", 5)
		select {
		case <-a.announceStopped:
			return
		case <-time.After(announceLease / 3):
		}
	}
}

func (b *testBench) announce(a *testAgent, state string, slots int) int {
	body, _ := json.Marshal(Announcement{
		Service: "bells", Address: addr(a.number, 9000), Slots: slots, Connections: 2000, State: state,
	})
	status, _ := b.requestAnnounce(a, http.MethodPut, body)
	return status
}

func (b *testBench) requestAnnounce(a *testAgent, method string, body []byte) (int, string) {
	t := &http.Transport{DialContext: dialFunc(b.net), DisableKeepAlives: true}
	r, err := http.NewRequest(method, "http://"+a.settings.Announce.String()+announcePath, bytes.NewReader(body))
	b.is.NoErr(err)
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// stopAnnouncing ends the upstream's announcements.
func (a *testAgent) stopAnnouncing() { a.stopOnce.Do(func() { close(a.announceStopped) }) }

// kill stops the agent abruptly.
func (a *testAgent) kill() {
	a.cancel()
	<-a.done
}

func (b *testBench) end() {
	for _, c := range b.callers {
		c.close()
	}
	for _, a := range b.agents {
		a.stopAnnouncing()
		a.cancel()
		<-a.done
		_ = a.upstream.Close()
	}
	synctest.Wait()
}
