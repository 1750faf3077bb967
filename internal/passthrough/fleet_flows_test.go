package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// A flow survives the simultaneous loss of all entry and agent processes: its
// upstream still holds it, and a search finds it there.
func TestFlowIsFoundAfterAllProcessesRestarted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3, 6)
	sim.advance(time.Second)
	first := func() *simEntry { return sim.entries[0] }
	c := sim.open(1, routeA, first)
	is.True(c.open)
	for _, a := range sim.agents {
		a.stop()
	}
	for _, e := range sim.entries {
		e.up = false
	}
	sim.departed = nil // no entry keeps departed agents
	sim.advance(500 * time.Millisecond)
	for _, e := range sim.entries {
		e.start()
	}
	for _, a := range sim.agents {
		a.start()
		a.announce()
	}
	sim.syncViews()
	sim.request(c, sim.entries[1])
	is.Equal(c.undelivered, 0) // the first packet has reached the upstream
	sim.request(c, sim.entries[2])
	is.Equal(c.undelivered, 0)
	is.True(!c.reset)
}

// After a power loss all upstreams have restarted: a caller's packet on an earlier
// flow is answered by a reset.
func TestUnownedFlowIsReset(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	sim.advance(time.Second)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	is.True(c.open)
	for _, a := range sim.agents {
		a.upstream.down = true
		a.upstream = sim.newUpstream()
		a.start()
		a.announce()
	}
	for _, e := range sim.entries {
		e.start()
	}
	sim.syncViews()
	sim.request(c, sim.entries[1])
	is.True(!c.reset) // agents may still be missing
	sim.advance(flow.JoinWaitMax + 2*tickPeriod)
	is.True(c.reset)
}

// When an upstream ends, its flows are reset, so that callers need not wait for a
// deadline.
func TestFlowsOfAnEndedUpstreamAreReset(t *testing.T) {
	for name, end := range map[string]func(*simAgent){
		"replaced": func(a *simAgent) {
			a.upstream.down = true
			a.upstream = a.sim.newUpstream()
			a.announce()
		},
		"ended": func(a *simAgent) {
			a.upstream.down = true
			a.tracker.Announce(a.sim.now, flow.Announcement{ID: a.tracker.Last().ID, Ended: true, StartMillis: a.tracker.Last().StartMillis})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 2, 6)
			c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
			is.True(c.open)
			sim.request(c, sim.entries[0]) // opens the flow at the upstream
			sim.advance(answerPause)       // its answer is complete
			for _, a := range sim.agents {
				if a.upstream == c.owner {
					end(a)
				}
			}
			is.True(c.reset)
		})
	}
}

// A full upstream returns the opening packet, and another one accepts the flow.
func TestReturnedOpeningIsOfferedToAnotherAgent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	for _, a := range sim.agents[:4] {
		a.upstream.full = a.service == "alpha"
	}
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	is.True(c.open)
	is.Equal(sim.now.Sub(c.opened), time.Duration(0)) // with the first packet
}

// An agent that is down does not answer; the next copy of the opening packet is
// offered to another one.
func TestCopyOfAnOpeningIsOfferedToAnotherAgent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	for _, a := range sim.agents[:3] {
		a.up = false // not known to the entry yet
	}
	for i := range 20 {
		c := sim.open(i, routeA, func() *simEntry { return sim.entries[0] })
		is.True(c.open)
	}
}

// A flow that no agent accepts is reset after the last copy of its opening packet.
func TestFlowRefusedByAllAgentsIsReset(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	for _, a := range sim.agents {
		a.upstream.full = true
	}
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	is.True(!c.open && c.reset)
}

func TestUnknownAddress(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	delete(sim.fleet.Routes, routeB)
	c := sim.open(1, routeB, func() *simEntry { return sim.entries[0] })
	is.True(c.reset) // the configuration was just verified as the latest
	sim.entries[0].router.SetVerifiedAt(sim.now.Add(-2 * verifiedConfigAge))
	sim.entries[0].views.zones = nil
	c = &simCaller{key: flow.KeyOf(flow.EndpointOf(addrOf(9, 2)), flow.EndpointOf(routeB))}
	sim.callers = append(sim.callers, c)
	sim.send(sim.entries[0], makePacket(c.key.Caller(), c.key.Route(), 1, 7, 0, 0))
	sim.deliverAll()
	is.True(!c.reset) // the route may have been added since
}

// The replicas of a flow store its owner: an entry that never received a packet of
// the flow queries one of them and no agent.
func TestReplicaAnswersLookups(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 5, 6)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	sim.advance(2 * tickPeriod)
	replicas := flow.ReplicasOf(c.key, sim.entries[0].router.view.Entries)
	for _, e := range sim.entries {
		if e == sim.entries[0] || replicas.Has(e.addr) {
			continue
		}
		searches := 0
		e.router.observe = func(d Decision) {
			if d.Kind == DecisionSearch {
				searches++
			}
		}
		sim.request(c, e)
		is.Equal(c.undelivered, 0)
		is.Equal(searches, 0)
	}
}

// After all processes were killed, an agent that starts without an upstream and then
// disappears must not keep entries from finding the flows of other agents.
func TestAgentWithoutAnnouncementDoesNotDelaySearches(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	sim.advance(time.Second)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	for _, a := range sim.agents {
		a.start()
	}
	for _, e := range sim.entries {
		e.start()
	}
	spare := sim.addAgent(7, "alpha")
	spare.upstream.down = true
	spare.start()
	for _, a := range sim.agents {
		a.announce()
	}
	sim.syncViews()
	spare.up = false // without leaving the fleet
	sim.request(c, sim.entries[1])
	is.Equal(c.undelivered, 0)
}

// A change of the configuration does not move open flows, also when the route no
// longer has the service of the flow's owner and the agents restart.
func TestFlowSurvivesRemovalOfItsServiceFromTheRoute(t *testing.T) {
	for name, lost := range map[string]bool{"owner known": false, "owner searched for": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 2, 6)
			sim.advance(time.Second)
			c := sim.open(1, routeB, func() *simEntry { return sim.entries[0] })
			is.True(c.open)
			changed := *sim.fleet
			changed.Routes = map[netip.AddrPort]*config.Route{
				routeA: sim.fleet.Routes[routeA],
				routeB: {Name: "b", Address: routeB, Choices: []config.Choice{{Service: "alpha", Weight: 1}}},
			}
			sim.fleet = &changed
			for _, a := range sim.agents {
				a.start()
				a.announce()
			}
			sim.syncViews()
			if lost {
				for _, e := range sim.entries {
					for k := range e.router.flows {
						delete(e.router.flows, k)
					}
				}
			}
			sim.request(c, sim.entries[1])
			sim.advance(time.Second)
			is.True(!c.reset)
			is.Equal(c.undelivered, 0)
		})
	}
}
