package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// faultMachine draws the faults and actions of a simulated fleet.
type faultMachine struct {
	*simulation
	t     *rapid.T
	flows int
}

func (m *faultMachine) drawEntry() *simEntry {
	var up []*simEntry
	for _, e := range m.entries {
		if e.up {
			up = append(up, e)
		}
	}
	return rapid.SampledFrom(up).Draw(m.t, "entry")
}

func (m *faultMachine) drawAgent() *simAgent {
	var present []*simAgent
	for _, a := range m.agents {
		if !a.removed {
			present = append(present, a)
		}
	}
	return rapid.SampledFrom(present).Draw(m.t, "agent")
}

// otherAgentServes reports whether another agent of the service has an upstream that
// accepts flows.
func (m *faultMachine) otherAgentServes(except *simAgent) bool {
	for _, a := range m.agents {
		if a != except && !a.removed && a.service == except.service && a.up && !a.upstream.down && !a.upstream.leaving {
			return true
		}
	}
	return false
}

func (m *faultMachine) openFlow() {
	m.flows++
	route := rapid.SampledFrom([]int{0, 0, 1}).Draw(m.t, "route")
	m.open(m.flows, []netip.AddrPort{routeA, routeB}[route], m.drawEntry)
}

func (m *faultMachine) sendOnFlow() {
	var open []*simCaller
	for _, c := range m.callers {
		if c.open && !c.reset && m.now.Sub(c.opened) < 10*time.Second {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return
	}
	c := rapid.SampledFrom(open).Draw(m.t, "flow")
	// Any packet of a flow may reach any entry.
	for range rapid.IntRange(1, 3).Draw(m.t, "packets") {
		e := m.drawEntry()
		m.request(c, e)
		m.checkDelivery(c, e)
	}
}

// allOwnersUp reports whether every agent that the entry would query is up. While
// one is not, it may be the owner, and upstreams are not probed.
func (m *faultMachine) allOwnersUp(e *simEntry) bool {
	up := map[flow.Endpoint]bool{}
	for _, a := range m.agents {
		if a.up && !a.removed && !a.stalled {
			up[a.addr] = true
		}
	}
	for _, addr := range e.router.view.OwnerAddrs {
		if !up[addr] && e.router.view.Owners[addr].Announced {
			return false
		}
	}
	return true
}

// checkDelivery expects that a packet, or one of the copies that the caller sends
// after 200 and 400 ms, reaches its upstream if the upstream's agent is up and known
// to the entry.
func (m *faultMachine) checkDelivery(c *simCaller, e *simEntry) {
	if !m.allOwnersUp(e) {
		return
	}
	for _, a := range m.agents {
		if a.upstream != c.owner || !a.up || c.owner.down || !e.router.mayOwn(a.addr) {
			continue
		}
		for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
			m.advance(wait)
			if c.undelivered > 0 && !c.reset {
				m.request(c, e)
			}
		}
		m.advance(searchDuration)
		if c.undelivered > 0 && !c.reset {
			m.t.Fatalf("a packet of flow %s did not reach its upstream", c.key)
		}
	}
}

// searchDuration is the longest duration of a search: every stage ends by its
// timeout.
const searchDuration = 2 * (flow.ReplicaCount + 1) * lookupTimeout

func (m *faultMachine) restartEntry() {
	e := m.drawEntry()
	up := 0
	for _, x := range m.entries {
		if x.up {
			up++
		}
	}
	if up < 2 {
		return
	}
	e.up = false
	m.passTime("down")
	e.start()
	m.syncViews()
	for _, x := range m.entries {
		if x.up && x != e {
			x.router.Reregister(e.addr)
		}
	}
}

func (m *faultMachine) restartAgent() {
	a := m.drawAgent()
	if !a.up {
		return
	}
	a.stop()
	m.syncViews()
	m.passTime("down")
	a.start()
	a.announce()
	m.syncViews()
}

// restartEntryWhileAgentIsDown restarts an entry and sends packets while an agent is
// down.
func (m *faultMachine) restartEntryWhileAgentIsDown() {
	a := m.drawAgent()
	if !a.up {
		return
	}
	a.stop()
	m.syncViews()
	m.restartEntry()
	m.sendOnFlow()
	m.advance(flow.JoinWaitMax + 2*tickPeriod)
	m.sendOnFlow()
	a.start()
	a.announce()
	m.syncViews()
}

func (m *faultMachine) drainUpstream() {
	a := m.drawAgent()
	if !m.otherAgentServes(a) {
		return
	}
	a.upstream.leaving = true
	a.announce()
	if rapid.Bool().Draw(m.t, "sync views") {
		m.syncViews()
	}
}

func (m *faultMachine) replaceUpstream() {
	a := m.drawAgent()
	if !m.otherAgentServes(a) {
		return
	}
	a.upstream.down = true
	m.passTime("away")
	a.upstream = m.newUpstream()
	a.announce()
	m.syncViews()
}

// reuseAddress replaces an agent by one of another service with the same address.
func (m *faultMachine) reuseAddress() {
	a := m.drawAgent()
	if !m.otherAgentServes(a) {
		return
	}
	a.upstream.down, a.removed = true, true
	a.stop()
	next := &simAgent{sim: m.simulation, addr: a.addr, zone: a.zone, service: map[string]string{"alpha": "beta", "beta": "alpha"}[a.service]}
	next.upstream = m.newUpstream()
	m.agents = append(m.agents, next)
	next.start()
	next.announce()
	if rapid.Bool().Draw(m.t, "sync views") {
		m.syncViews()
	}
}

func (m *faultMachine) toggleZone() {
	zone := rapid.SampledFrom(zoneNames).Draw(m.t, "zone")
	out := !m.fleet.ZonesOut[zone]
	m.fleet.ZonesOut[zone] = out
	for _, a := range m.agents {
		a.tracker.Configure(flow.Limits{}, m.fleet.FlowIdle, m.fleet.ZonesOut[a.zone])
	}
	if rapid.Bool().Draw(m.t, "sync views") {
		m.syncViews()
	}
}

func (m *faultMachine) passTime(why string) {
	m.advance(time.Duration(rapid.IntRange(0, 40).Draw(m.t, why)) * tickPeriod)
}

// Under any sequence of restarts, drains and replacements, an open flow stays with
// its upstream, is not reset while that runs, and never reaches a wrong service. Where
// slots are scarce, bursts of openings wait at the agents meanwhile (waitingMonitor).
func TestFleetKeepsFlows(t *testing.T) { checkFleetKeepsFlows(t, 6) }

// The same with enough agents in a zone that their probes are relayed.
func TestFleetWithRelayedProbesKeepsFlows(t *testing.T) { checkFleetKeepsFlows(t, 18) }

func checkFleetKeepsFlows(t *testing.T, agents int) {
	rapid.Check(t, func(t *rapid.T) {
		m := &faultMachine{simulation: newSimulation(func(f string, a ...any) { t.Fatalf(f, a...) }, 3, agents), t: t}
		scarce := rapid.Bool().Draw(t, "scarce slots")
		var waiting *waitingMonitor
		if scarce {
			waiting = m.monitorWaiting()
		}
		m.advance(flow.JoinWaitMax + tickPeriod)
		actions := m.actions()
		actions["burst"] = func(t *rapid.T) {
			if !scarce {
				t.Skip("an upstream takes every flow that no agent accepts")
			}
			m.burst()
		}
		actions[""] = func(*rapid.T) { waiting.check() }
		t.Repeat(actions)
	})
}

func (m *faultMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"open":             func(*rapid.T) { m.openFlow() },
		"open more":        func(*rapid.T) { m.openFlow() },
		"send":             func(*rapid.T) { m.sendOnFlow() },
		"send more":        func(*rapid.T) { m.sendOnFlow() },
		"restart entry":    func(*rapid.T) { m.restartEntry() },
		"restart agent":    func(*rapid.T) { m.restartAgent() },
		"restart both":     func(*rapid.T) { m.restartEntryWhileAgentIsDown() },
		"drain upstream":   func(*rapid.T) { m.drainUpstream() },
		"replace upstream": func(*rapid.T) { m.replaceUpstream() },
		"reuse address":    func(*rapid.T) { m.reuseAddress() },
		"zone out or in":   func(*rapid.T) { m.toggleZone() },
		"pass":             func(*rapid.T) { m.passTime("pass") },
	}
}

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
