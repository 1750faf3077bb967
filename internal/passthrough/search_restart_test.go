package passthrough

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// All processes were killed while the upstreams keep running (scenario kill_all), and the
// agent of a flow's upstream is not back yet. Agents of services that the route does not
// have can't tell and are not queried again; their replies must not stand for the missing
// one, or the repeated search sends the packet to all other upstreams of the service
// (TestFleetKeepsFlows, -rapid.seed=926849).
func TestRepeatedSearchDoesNotProbeBeforeOwnerAnswers(t *testing.T) {
	for _, agents := range []int{6, 15, 62, 195} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 3, agents)
			e := sim.entries[0]
			c := sim.open(1, routeA, func() *simEntry { return e })
			owner := sim.agentOf(c)
			sim.restartAllProcesses()
			owner.up = false
			out := &packetCounter{Outbox: e, to: map[flow.Endpoint]int{}}
			e.router.out = out
			sim.request(c, e)
			expectFoundWithoutProbe(is, sim, c, owner, out)
		})
	}
}

// expectFoundWithoutProbe checks that a search sends the packet to no agent while the
// owner's is stopped, and finds it once it runs again.
func expectFoundWithoutProbe(is *is.I, sim *simulation, c *simCaller, owner *simAgent, out *packetCounter) {
	is.Helper()
	sim.advance(3 * searchInterval) // at least two repetitions
	is.Equal(len(out.to), 0)        // agents that received the packet
	is.Equal(c.misdelivered, 0)
	owner.restart()
	sim.advance(2*lookupTimeout + tickPeriod) // the query under way and the next one
	is.Equal(c.undelivered, 0)
	is.True(!c.reset)
}

// The agent of a flow's upstream stops after it replied that it can't tell, while the
// search still waits for another agent. Its reply no longer counts: the packet can't reach
// the flow's upstream, and would reach all others of the service (TestFleetKeepsFlows,
// -rapid.seed=2160082).
func TestSearchDoesNotProbeAfterOwnerStopped(t *testing.T) {
	for _, agents := range []int{6, 15, 62, 195} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 3, agents)
			e := sim.entries[0]
			c := sim.open(1, routeA, func() *simEntry { return e })
			owner := sim.agentOf(c)
			late := sim.agents[0]
			if late == owner {
				late = sim.agents[1]
			}
			sim.restartAllProcesses()
			late.up = false
			out := &packetCounter{Outbox: e, to: map[flow.Endpoint]int{}}
			e.router.out = out
			sim.request(c, e)
			sim.advance(lookupTimeout + 2*tickPeriod)
			owner.stop()
			late.restart()
			expectFoundWithoutProbe(is, sim, c, owner, out)
		})
	}
}

// An agent without an upstream is not queried again in a search that waits for the owner's
// agent, which is down. A late denial of it must not stand for the owner's: the flow is
// open.
func TestLateDenialDoesNotResetAnOpenFlow(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3, 6)
	e := sim.entries[0]
	sim.advance(time.Second)
	idle := sim.addAgent(7, "alpha")
	idle.upstream.down = true
	idle.start() // its upstream has not announced itself
	sim.syncViews()
	e.router.Message(sim.now, idle.addr, &Message{Kind: KindNotHeld, Reason: flow.RefusalNoUpstream})
	c := sim.open(1, routeA, func() *simEntry { return e })
	owner := sim.agentOf(c)
	sim.advance(flow.JoinWaitMax + tickPeriod)
	for _, other := range sim.entries {
		delete(other.router.flows, c.key)
	}
	owner.up, idle.up = false, false
	sim.request(c, e)
	sim.advance(searchInterval + lookupTimeout*2)
	f := e.router.flows[c.key]
	is.Equal(f.state, stateSearching)
	is.True(f.denials() >= f.queried-1)
	e.router.Message(sim.now, idle.addr, &Message{Kind: KindNotHeld, Key: c.key, Reason: flow.RefusalNoUpstream})
	sim.advance(flow.JoinWaitMax)
	is.Equal(f.state, stateSearching) // for the agent of the owner
	is.True(!c.reset)
}
