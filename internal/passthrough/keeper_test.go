package passthrough

import (
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
	codec.SetNote(packet, flow.Note{Purpose: flow.PurposeSearch, Service: a.keeper.tag})
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
			codec.SetNote(packet, flow.Note{Purpose: flow.PurposeOpen, Service: other.keeper.tag})
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
	out := &reports{KeeperOutbox: a.keeper.Out}
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
	is.True(idle <= 8)                                  // at most one in 1.4 s
	is.True(idle > int(10*time.Second/flow.ReportLife)) // one may be lost
	alive(16, 120)
	pass(time.Second)
	is.True(len(out.loads)-idle >= 1)
	is.True(out.loads[len(out.loads)-1] >= reportChange)
}

// reports keeps the loads that an agent reports.
type reports struct {
	KeeperOutbox
	loads []float64
}

func (r *reports) Tell(to flow.End, m *Message) {
	if m.Kind == KindLoad {
		r.loads = append(r.loads, m.Load.Busy)
	}
	r.KeeperOutbox.Tell(to, m)
}
