package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/checkpoint"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/orphan"
)

// Pattern of these tests: a stale connection pool. A caller keeps open flows and uses each
// again after a pause. When all upstreams end, each flow is found dead by the next request
// on it, which fails if it must not be repeated.

// openFlows returns what all entries have recorded of their flows.
func (sim *simulation) openFlows() [][]checkpoint.Flow {
	flows := make([][]checkpoint.Flow, len(sim.entries))
	for i, e := range sim.entries {
		flows[i] = e.router.OpenFlows(1000)
	}
	return flows
}

// losePower restarts all entries, agents and upstreams.
func (sim *simulation) losePower() {
	for _, a := range sim.agents {
		a.upstream.down = true
		a.upstream = sim.newUpstream()
	}
	sim.killAll()
}

// killAll restarts all entries and agents; the upstreams live on.
func (sim *simulation) killAll() {
	for _, a := range sim.agents {
		a.up = false
	}
	for _, e := range sim.entries {
		e.up = false
	}
	sim.departed = nil
	sim.advance(time.Second)
	for _, e := range sim.entries {
		e.start()
	}
	for _, a := range sim.agents {
		if !a.removed {
			a.start()
			a.announce()
		}
	}
	sim.syncViews()
}

func (sim *simulation) verifyFlows(flows [][]checkpoint.Flow) {
	for i, e := range sim.entries {
		e.router.VerifyFlows(sim.now, flows[i])
	}
}

// pool opens flows, on each of which a request has been answered.
func (sim *simulation) pool(n int) []*simCaller {
	var callers []*simCaller
	for i := range n {
		e := sim.entries[i%len(sim.entries)]
		c := sim.open(i, routeA, func() *simEntry { return e })
		sim.request(c, e)
		callers = append(callers, c)
	}
	return callers
}

func countReset(callers []*simCaller) int {
	n := 0
	for _, c := range callers {
		if c.reset {
			n++
		}
	}
	return n
}

func TestIdleFlowsAreResetAfterALossOfPower(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3, 6)
	sim.advance(time.Second)
	callers := sim.pool(200)
	recorded := sim.openFlows()
	sim.losePower()
	sim.advance(time.Second)
	is.Equal(countReset(callers), 0) // nobody knows them
	sim.verifyFlows(recorded)
	sim.advance(time.Second)
	is.Equal(countReset(callers), 200) // before their callers have sent a packet
}

// All processes are killed and the upstreams live: they still hold the flows, which no
// agent knows. The simulation fails at a reset of such a flow.
func TestFlowsOfLivingUpstreamsAreKept(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3, 6)
	sim.advance(time.Second)
	callers := sim.pool(50)
	recorded := sim.openFlows()
	sim.killAll()
	sim.verifyFlows(recorded)
	sim.advance(3 * time.Second)
	is.Equal(countReset(callers), 0)
	for i, c := range callers {
		sim.request(c, sim.entries[i%3])
		sim.advance(200 * time.Millisecond) // more than a few searches wait for the tick
		is.Equal(c.undelivered, 0)
	}
}

// A machine loses power and comes back with another upstream. The entries know its flows,
// so no record of the store is needed.
func TestIdleFlowsOfARestartedAgentAreReset(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3, 6)
	sim.advance(time.Second)
	callers := sim.pool(60)
	lost := sim.agents[0]
	former := lost.upstream
	former.down = true
	lost.stop()
	sim.syncViews()
	sim.advance(time.Second)
	lost.upstream = sim.newUpstream()
	lost.start()
	lost.announce()
	sim.syncViews()
	sim.advance(time.Second)
	for _, c := range callers {
		is.Equal(c.reset, c.owner == former)
	}
}

// The caller has opened the flow again, or has a request under way, when the agents'
// denials arrive.
func TestFlowsInUseAreLeftToTheirPackets(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	sim.advance(time.Second)
	callers := sim.pool(2)
	recorded := sim.openFlows()
	sim.losePower()
	sim.advance(time.Second)
	sim.verifyFlows(recorded)
	again := callers[0]
	again.open = false
	sim.send(sim.entries[0], makePacket(again.key.Caller(), again.key.Route(), 1, 7, 0, 0)) // before a denial
	sim.advance(time.Second)
	is.True(again.open)
	is.True(!again.reset)
	is.True(callers[1].reset)
}

// Only flows whose requests may not be repeated are recorded, and of these the latest.
func TestRecordedFlows(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	sim.fleet.Routes[routeB].Repeatable = true
	sim.advance(time.Second)
	e := sim.entries[0]
	first := func() *simEntry { return e }
	sim.request(sim.open(1, routeB, first), e)
	older := sim.open(2, routeA, first)
	sim.request(older, e)
	sim.advance(time.Second)
	latest := sim.open(3, routeA, first)
	sim.request(latest, e)
	sim.open(4, routeA, first) // no packet yet that acknowledges anything
	is.Equal(len(e.router.OpenFlows(10)), 2)
	is.Equal(e.router.OpenFlows(1), []checkpoint.Flow{{Key: latest.key, Ack: latest.seq + 1}})
}

// Under any sequence of restarts, drains and replacements, records of any age reset no flow
// whose upstream lives; the simulation fails otherwise.
func TestOldRecordsResetNoOpenFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &faultMachine{simulation: newSimulation(func(f string, a ...any) { t.Fatalf(f, a...) }, 3, 6), t: t}
		m.advance(flow.JoinWaitMax + tickPeriod)
		records := [][][]checkpoint.Flow{m.openFlows()}
		actions := m.actions()
		actions["record"] = func(*rapid.T) { records = append(records, m.openFlows()) }
		actions["verify"] = func(t *rapid.T) { m.verifyFlows(rapid.SampledFrom(records).Draw(t, "record")) }
		actions["kill all"] = func(*rapid.T) { m.killAll() }
		actions["lose power"] = func(*rapid.T) { m.losePower() }
		t.Repeat(actions)
	})
}

// A packet that arrives between the queries and the last denial has gone to the owner that
// the entry knew; the owner's answer decides, at the pace of such resets.
func TestPacketDuringTheQueriesKeepsItsFlow(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	sim.advance(time.Second)
	c := sim.pool(1)[0]
	c.owner.down = true
	r := sim.entries[0].router
	o := orphan.Orphan{Flow: checkpoint.Flow{Key: c.key, Ack: 1}, Since: r.flows[c.key].lastSeen.Add(-1)}
	r.resetOrphan(sim.now, &o)
	is.True(!c.reset)
	o.Since = r.flows[c.key].lastSeen
	r.resetOrphan(sim.now, &o)
	is.True(c.reset)
}

// Above searchProofLimit agents a proof would take too many queries: the flows are left to
// their next packets, and not kept.
func TestNoProofIsSoughtInAHugeFleet(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	sim.advance(time.Second)
	sim.pool(10)
	recorded := sim.openFlows()
	sim.losePower()
	sim.verifyFlows(recorded)
	r := sim.entries[0].router
	is.Equal(r.orphans.Len(), 10)
	for i := range searchProofLimit {
		r.view.OwnerAddrs = append(r.view.OwnerAddrs, flow.EndpointOf(addrOf(8, i)))
	}
	r.resetOrphans(sim.now)
	is.Equal(r.orphans.Len(), 0)
	is.Equal(len(sim.queue), 0)
}
