package passthrough

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// An upstream went without a word, as when it is dark: its callers are told, and
// the agent answers searches without it.
func TestSilentUpstreamIsTakenForEnded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 2, 6)
	c := w.open(1, routeA, func() *worldEntry { return w.entries[0] })
	is.True(c.open)
	w.request(c, w.entries[0]) // opens the flow at the upstream
	a := w.holder(c)
	a.upstream.dead = true
	w.advance(worldSilence - time.Second)
	is.True(!c.reset) // a late announcement is no proof
	w.advance(2 * time.Second)
	is.True(c.reset)
	is.Equal(a.keeper.State(w.now), flow.UpstreamAbsent)
	is.True(a.keeper.knowsAll(w.now))
	a.upstream = w.newUpstream()
	a.beat()
	is.Equal(a.keeper.State(w.now), flow.UpstreamWarm)
}

// The agent itself stood still: the silence was its own.
func TestPauseOfTheAgentIsNoSilence(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 2, 6)
	c := w.open(1, routeA, func() *worldEntry { return w.entries[0] })
	a := w.holder(c)
	w.now = w.now.Add(10 * worldSilence) // no tick in between
	a.keeper.Tick(w.now)
	is.True(!c.reset)
	is.Equal(a.keeper.State(w.now), flow.UpstreamAbsent) // but no new flow until it is heard
	a.beat()
	is.Equal(a.keeper.State(w.now), flow.UpstreamWarm)
}

// After everything restarted an agent without an upstream must not hold up the
// searches of all others.
func TestAgentWithoutUpstreamDeniesFlows(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 2, 6)
	a := w.agents[0]
	a.upstream.dead = true
	a.start()
	is.True(!a.keeper.knowsAll(w.now)) // an announcement may still come
	w.advance(worldSilence + time.Second)
	is.True(a.keeper.knowsAll(w.now))

	// A packet that is not returned tells sooner.
	a.start()
	packet := makePacket(sampleKey.Caller(), sampleKey.Route(), 16, 8, 1, 120)
	codec.SetMetadata(packet, flow.Metadata{Purpose: flow.PurposeSearch, Service: a.keeper.tag})
	s, _ := codec.Decode(packet)
	a.keeper.Packet(w.now, w.entries[0].addr, &s, packet)
	w.advance(probeWait - tickPeriod)
	is.True(!a.keeper.knowsAll(w.now))
	w.advance(3 * tickPeriod)
	is.True(a.keeper.knowsAll(w.now))
	a.upstream = w.newUpstream()
	a.upstream.sequence = 5
	a.beat()
	is.True(!a.keeper.knowsAll(w.now)) // it is there after all
}

// Requests whose callers gave up are no load: after an outage agents refused new
// flows as busy for as long as the abandoned ones were remembered.
func TestAbandonedRequestsAreNoLoad(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1, 3)
	c := w.open(1, routeA, func() *worldEntry { return w.entries[0] })
	a := w.holder(c)
	ask := func(flags byte) {
		packet := makePacket(c.key.Caller(), c.key.Route(), flags, 8, c.seq+1, 120)
		s, _ := codec.Decode(packet)
		a.keeper.Packet(w.now, w.entries[0].addr, &s, packet)
		w.queue = nil // the upstream does not answer
	}
	ask(16)
	is.Equal(a.keeper.Busy(), 1)
	w.advance(busyLife + 2*sweepPeriod)
	is.Equal(a.keeper.Busy(), 0)

	ask(16)
	is.Equal(a.keeper.Busy(), 1)
	ask(16 | 64) // the caller closes its side
	is.Equal(a.keeper.Busy(), 0)
}

// A copy of the opening packet opened the flow at another upstream. The first
// one ends later, which says nothing about the flow.
func TestEndOfAnUpstreamThatNeverHadTheFlow(t *testing.T) {
	for name, answers := range map[string]bool{"did not answer": false, "consented too": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t.Fatalf, 1, 6)
			c := w.open(1, routeA, func() *worldEntry { return w.entries[0] })
			is.True(c.open)
			var other *worldAgent
			for _, a := range w.agents {
				if a.service == "alpha" && a.upstream != c.owner {
					other = a
				}
			}
			packet := makePacket(c.key.Caller(), c.key.Route(), 1, 7, 0, 0)
			codec.SetMetadata(packet, flow.Metadata{Purpose: flow.PurposeOpen, Service: other.keeper.tag})
			s, _ := codec.Decode(packet)
			other.upstream.dead = !answers
			other.keeper.Packet(w.now, w.entries[0].addr, &s, packet)
			w.drain()
			other.upstream.dead = true
			other.upstream = w.newUpstream()
			other.beat()
			is.True(!c.reset)
		})
	}
}

// The next start of an upstream takes a flow before it announces itself: the
// flow is not one of those that ended with the start before.
func TestFlowOpenedBeforeTheFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1, 3)
	for _, a := range w.agents {
		a.upstream.dead = true
		a.upstream = w.newUpstream() // not announced yet
	}
	w.now = w.now.Add(50 * time.Millisecond)
	c := w.open(1, routeA, func() *worldEntry { return w.entries[0] })
	is.True(c.open)
	w.request(c, w.entries[0])
	is.Equal(c.sent, 0)
	w.now = w.now.Add(50 * time.Millisecond)
	for _, a := range w.agents {
		a.beat()
	}
	is.True(!c.reset)
	w.request(c, w.entries[0])
	is.Equal(c.sent, 0)
	is.True(!c.reset)
}

// An entry hears of a load at once when it changes, and rarely when it does not:
// at the design size the reports were most of an agent's control bytes.
func TestLoadIsReportedWhenItChanges(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1, 3)
	c := w.open(1, routeA, func() *worldEntry { return w.entries[0] })
	a := w.holder(c)
	out := &reports{TrackerOutbox: a.keeper.Out}
	a.keeper.Out = out
	alive := func(flags byte, data int) { // a packet of the caller
		packet := makePacket(c.key.Caller(), c.key.Route(), flags, 8, c.seq+1, data)
		s, _ := codec.Decode(packet)
		a.keeper.Packet(w.now, w.entries[0].addr, &s, packet)
		w.queue = nil // the upstream does not answer
	}
	pass := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			alive(16, 0)
			w.advance(tickPeriod)
		}
	}
	pass(10 * time.Second)
	idle := len(out.loads)
	is.True(idle <= 8)                                 // at most one in 1.4 s
	is.True(idle > int(10*time.Second/flow.ReportTTL)) // one may be lost
	alive(16, 120)
	pass(time.Second)
	is.True(len(out.loads)-idle >= 1)
	is.True(out.loads[len(out.loads)-1] >= reportChange)
}

// reports keeps the loads that an agent reports.
type reports struct {
	TrackerOutbox
	loads []float64
}

func (r *reports) SendMessage(to flow.Endpoint, m *Message) {
	if m.Kind == KindLoad {
		r.loads = append(r.loads, m.Load.Busy)
	}
	r.TrackerOutbox.SendMessage(to, m)
}

// The load is that of an upstream that resets 45 % of its requests while it says
// that it is well (srv_grey, how reset): callers that try again on a new flow
// came back to it, because it was the least busy.
func TestFailingUpstreamGetsFewFlows(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 2, 9) // six upstreams of the service
	grey := w.agents[0]
	r := rand.New(rand.NewPCG(7, 7))
	grey.upstream.fails = func() bool { return r.Float64() < 0.45 }
	const perSecond = 40
	flows, onGrey := 0, 0
	port := 0
	for second := range 8 {
		for range perSecond {
			c := w.open(port, routeA, func() *worldEntry { return w.entries[port%2] })
			port++
			is.True(c.open)
			if second >= 2 {
				flows++
				if c.owner == grey.upstream {
					onGrey++
				}
			}
			w.request(c, w.entries[0])
			w.advance(tickPeriod)
		}
	}
	fair := flows / 6
	t.Logf("%d of %d flows, %d would be fair", onGrey, flows, fair)
	is.True(onGrey <= fair/3)
	is.True(onGrey > 0) // probation: it is tried now and then
}

// The log tells when requests begin to fail at an upstream, and when that ends.
func TestFailingUpstreamIsReported(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1, 1)
	a := w.agents[0]
	var said []string
	a.keeper.Observe = func(d Decision) {
		if d.Kind == DecisionFailing || d.Kind == DecisionRecovered {
			said = append(said, d.Kind)
		}
	}
	entry := func() *worldEntry { return w.entries[0] }
	a.upstream.fails = func() bool { return true }
	for i := range 5 {
		w.request(w.open(i, routeA, entry), w.entries[0])
		w.advance(tickPeriod)
	}
	is.Equal(said, []string{DecisionFailing})
	a.upstream.fails = nil
	for i := range 200 {
		w.request(w.open(100+i, routeA, entry), w.entries[0])
		w.advance(tickPeriod)
	}
	is.Equal(said, []string{DecisionFailing, DecisionRecovered})
}
