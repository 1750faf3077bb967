package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

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
