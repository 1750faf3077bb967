package passthrough

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// An upstream becomes unreachable without an announcement: its flows are reset, and
// the agent answers searches without it.
func TestUnresponsiveUpstreamIsTreatedAsEnded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	is.True(c.open)
	sim.request(c, sim.entries[0]) // opens the flow at the upstream
	a := sim.agentOf(c)
	a.upstream.down = true
	sim.advance(simUpstreamTimeout - time.Second)
	is.True(!c.reset) // one late announcement does not time it out
	sim.advance(2 * time.Second)
	is.True(c.reset)
	is.Equal(a.tracker.State(sim.now), flow.UpstreamAbsent)
	is.True(a.tracker.allFlowsKnown(sim.now))
	a.upstream = sim.newUpstream()
	a.announce()
	is.Equal(a.tracker.State(sim.now), flow.UpstreamWarm)
}

// A pause of the agent's process must not count as a timeout of its upstream.
func TestPauseOfTheAgentDoesNotTimeOutItsUpstream(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	a := sim.agentOf(c)
	sim.now = sim.now.Add(10 * simUpstreamTimeout) // no tick in between
	a.tracker.Tick(sim.now)
	is.True(!c.reset)
	is.Equal(a.tracker.State(sim.now), flow.UpstreamAbsent) // no new flows until the next announcement
	a.announce()
	is.Equal(a.tracker.State(sim.now), flow.UpstreamWarm)
}

// After a restart of all processes, an agent without an upstream must not delay the
// searches of all others.
func TestAgentWithoutUpstreamDeniesFlows(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	a := sim.agents[0]
	a.upstream.down = true
	a.start()
	is.True(!a.tracker.allFlowsKnown(sim.now)) // an announcement may still come
	sim.advance(simUpstreamTimeout + time.Second)
	is.True(a.tracker.allFlowsKnown(sim.now))

	// A probe that the upstream does not return shortens the wait.
	a.start()
	packet := makePacket(sampleKey.Caller(), sampleKey.Route(), 16, 8, 1, 120)
	codec.SetMetadata(packet, flow.Metadata{Purpose: flow.PurposeSearch, Service: a.tracker.serviceTag})
	s, _ := codec.Decode(packet)
	a.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
	sim.advance(probeTimeout - tickPeriod)
	is.True(!a.tracker.allFlowsKnown(sim.now))
	sim.advance(3 * tickPeriod)
	is.True(a.tracker.allFlowsKnown(sim.now))
	a.upstream = sim.newUpstream()
	a.upstream.sequence = 5
	a.announce()
	is.True(!a.tracker.allFlowsKnown(sim.now)) // the upstream exists after all
}

// Requests that their callers abandoned must not count as load: after an outage,
// agents refused new flows as busy until the abandoned requests expired.
func TestAbandonedRequestsDoNotCountAsLoad(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	a := sim.agentOf(c)
	seq := uint32(8)
	sendRequest := func(flags byte) {
		packet := makePacket(c.key.Caller(), c.key.Route(), flags, seq, c.seq+1, 120)
		seq += 120
		s, _ := codec.Decode(packet)
		a.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
		sim.queue = nil // the upstream does not answer
	}
	sendRequest(16)
	is.Equal(a.tracker.Busy(), 1)
	sim.advance(requestTimeout + 2*sweepPeriod)
	is.Equal(a.tracker.Busy(), 0)

	sendRequest(16)
	is.Equal(a.tracker.Busy(), 1)
	sendRequest(16 | 64) // the caller closes its side
	is.Equal(a.tracker.Busy(), 0)
}

// Copies of an opening packet reached two upstreams, and the flow is open at one of
// them. When the other one ends, the flow must not be reset.
func TestEndOfAnUpstreamThatNeverHadTheFlow(t *testing.T) {
	for name, answers := range map[string]bool{"did not answer": false, "accepted too": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 1, 6)
			c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
			is.True(c.open)
			var other *simAgent
			for _, a := range sim.agents {
				if a.service == "alpha" && a.upstream != c.owner {
					other = a
				}
			}
			packet := makePacket(c.key.Caller(), c.key.Route(), 1, 7, 0, 0)
			codec.SetMetadata(packet, flow.Metadata{Purpose: flow.PurposeOpen, Service: other.tracker.serviceTag})
			s, _ := codec.Decode(packet)
			other.upstream.down = !answers
			other.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
			sim.deliverAll()
			other.upstream.down = true
			other.upstream = sim.newUpstream()
			other.announce()
			is.True(!c.reset)
		})
	}
}

// A restarted upstream accepts a flow before it announces itself: the flow must not
// be reset with those of the earlier start.
func TestFlowOpenedBeforeTheFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	for _, a := range sim.agents {
		a.upstream.down = true
		a.upstream = sim.newUpstream() // not announced yet
	}
	sim.now = sim.now.Add(50 * time.Millisecond)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	is.True(c.open)
	sim.request(c, sim.entries[0])
	is.Equal(c.undelivered, 0)
	sim.now = sim.now.Add(50 * time.Millisecond)
	for _, a := range sim.agents {
		a.announce()
	}
	is.True(!c.reset)
	sim.request(c, sim.entries[0])
	is.Equal(c.undelivered, 0)
	is.True(!c.reset)
}

// An entry receives a load report soon after the load changes, and rarely while it
// does not: at the design size, reports were most of an agent's control traffic.
func TestLoadIsReportedWhenItChanges(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	a := sim.agentOf(c)
	out := &loadRecorder{TrackerOutbox: a.tracker.Out}
	a.tracker.Out = out
	sendPacket := func(flags byte, data int) {
		packet := makePacket(c.key.Caller(), c.key.Route(), flags, 8, c.seq+1, data)
		s, _ := codec.Decode(packet)
		a.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
		sim.queue = nil // the upstream does not answer
	}
	passTime := func(d time.Duration) {
		for end := sim.now.Add(d); sim.now.Before(end); {
			sendPacket(16, 0)
			sim.advance(tickPeriod)
		}
	}
	passTime(10 * time.Second)
	idle := len(out.loads)
	is.True(idle <= 8)                                 // at most one in 1.4 s
	is.True(idle > int(10*time.Second/flow.ReportTTL)) // one may be lost
	sendPacket(16, 120)
	passTime(time.Second)
	is.True(len(out.loads)-idle >= 1)
	is.True(out.loads[len(out.loads)-1] >= reportMinChange)
}

// loadRecorder records the loads that an agent reports.
type loadRecorder struct {
	TrackerOutbox
	loads []float64
}

func (r *loadRecorder) SendMessage(to flow.Endpoint, m *Message) {
	if m.Kind == KindLoad {
		r.loads = append(r.loads, m.Load.Busy)
	}
	r.TrackerOutbox.SendMessage(to, m)
}

// An upstream resets 45 % of its requests while it reports itself healthy (scenario
// srv_grey, how reset). Callers that retried on a new flow were placed on it again,
// because it was the least busy.
func TestFailingUpstreamGetsFewFlows(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 9) // six upstreams of the service
	failing := sim.agents[0]
	r := rand.New(rand.NewPCG(7, 7))
	failing.upstream.failRequest = func() bool { return r.Float64() < 0.45 }
	const perSecond = 40
	flows, onFailing := 0, 0
	port := 0
	for second := range 8 {
		for range perSecond {
			c := sim.open(port, routeA, func() *simEntry { return sim.entries[port%2] })
			port++
			is.True(c.open)
			if second >= 2 {
				flows++
				if c.owner == failing.upstream {
					onFailing++
				}
			}
			sim.request(c, sim.entries[0])
			sim.advance(tickPeriod)
		}
	}
	fair := flows / 6
	t.Logf("%d of %d flows, %d would be fair", onFailing, flows, fair)
	is.True(onFailing <= fair/3)
	is.True(onFailing > 0) // it is still tried occasionally, so that a recovery is noticed
}

// The log shows when an upstream starts failing and when it recovers.
func TestFailingUpstreamIsReported(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 1)
	a := sim.agents[0]
	var reported []string
	a.tracker.Observe = func(d Decision) {
		if d.Kind == DecisionFailing || d.Kind == DecisionRecovered {
			reported = append(reported, d.Kind)
		}
	}
	entry := func() *simEntry { return sim.entries[0] }
	a.upstream.failRequest = func() bool { return true }
	for i := range 5 {
		sim.request(sim.open(i, routeA, entry), sim.entries[0])
		sim.advance(tickPeriod)
	}
	is.Equal(reported, []string{DecisionFailing})
	a.upstream.failRequest = nil
	for i := range 200 {
		sim.request(sim.open(100+i, routeA, entry), sim.entries[0])
		sim.advance(tickPeriod)
	}
	is.Equal(reported, []string{DecisionFailing, DecisionRecovered})
}

// An agent whose upstream does not return a probe denies the probed flow too, not only
// those that it has not probed.
func TestUnreturnedProbeIsDenied(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	a := sim.agents[0]
	a.upstream.down = true
	a.start()
	k := flow.KeyOf(flow.EndpointOf(addrOf(9, 1)), flow.EndpointOf(routeA))
	packet := makePacket(k.Caller(), k.Route(), 16, 8, 9, 100)
	codec.SetMetadata(packet, flow.Metadata{Purpose: flow.PurposeSearch, Service: a.tracker.serviceTag})
	s, _ := codec.Decode(packet)
	a.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
	is.Equal(a.tracker.holding(sim.now, k, sim.entries[0].addr), HoldingUnknown)
	sim.advance(probeTimeout + 2*tickPeriod)
	is.Equal(a.tracker.holding(sim.now, k, sim.entries[0].addr), HoldingNone)
}

// An agent is restarted by plan within half a second of its upstream's start (scenarios
// release and roll_term), after a flow was opened. The restarted process must not take
// the upstream's second announcement for the first one that any agent received, and deny
// the flow: an entry would reset it.
func TestAgentRestartedSoonAfterItsUpstream(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	a := sim.agents[0]
	a.upstream = &simUpstream{startMillis: sim.now.UnixMilli(), flows: map[flow.Key]uint32{}}
	a.start()
	a.announce()
	sim.now = sim.now.Add(300 * time.Millisecond)
	k := flow.KeyOf(flow.EndpointOf(addrOf(9, 1)), flow.EndpointOf(routeA))
	a.upstream.flows[k] = 1
	a.start()
	a.tracker.SetRestarted(true) // as an entry reports with its first reply
	sim.now = sim.now.Add(20 * time.Millisecond)
	a.announce()
	is.True(a.tracker.holding(sim.now, k, sim.entries[0].addr) != HoldingNone)
}
