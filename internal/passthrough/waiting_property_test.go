package passthrough

import (
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// routeC is a route of low priority to the service of routeA.
var routeC = netip.MustParseAddrPort("198.18.0.3:443")

// waitingMonitor checks the waiting openings of all agents: at most 16 wait, each one is
// sent or refused within 150 ms and a tick or given up by its caller, places go by
// priority, and the lowest one gets one place in four.
type waitingMonitor struct {
	m      *faultMachine
	agents map[*Tracker]*waitingAtAgent
}

// waitingAtAgent is what the monitor has seen of one agent's process.
type waitingAtAgent struct {
	since  map[flow.Key]time.Time
	passed int // places in a row that went to other than the lowest waiting priority
}

// monitorWaiting makes slots scarce, with two classes for one service, and returns the
// monitor of the openings that wait.
func (m *faultMachine) monitorWaiting() *waitingMonitor {
	m.scarceSlots = 5 // of every upstream of the simulation
	m.fleet.Routes[routeA].Priority, m.fleet.Routes[routeA].TargetMillis = 1, 250
	m.fleet.Routes[routeC] = &config.Route{
		Name: "c", Address: routeC, Choices: []config.Choice{{Service: "alpha", Weight: 1}}, Priority: 2, TargetMillis: 250,
	}
	w := &waitingMonitor{m: m, agents: map[*Tracker]*waitingAtAgent{}}
	m.observeAgent = func(a *simAgent, d Decision) { w.observe(a.tracker, d) }
	for _, a := range m.agents {
		a.tracker.ScarceSlots = m.scarceSlots
	}
	return w
}

func (w *waitingMonitor) priority(k flow.Key) int {
	return w.m.fleet.Routes[k.Route().AddrPort()].Priority
}

func (w *waitingMonitor) observe(t *Tracker, d Decision) {
	a := w.agents[t]
	if a == nil {
		a = &waitingAtAgent{since: map[flow.Key]time.Time{}}
		w.agents[t] = a
	}
	_, waited := a.since[d.Key]
	switch d.Kind {
	case DecisionWait:
		if waited {
			w.m.t.Fatalf("two openings of %s wait", d.Key)
		}
		a.since[d.Key] = w.m.now
	case DecisionReject:
		delete(a.since, d.Key)
	case DecisionAdmit:
		if waited != (d.Reason == admittedAfterWait) {
			w.m.t.Fatalf("opening of %s was admitted as %q", d.Key, d.Reason)
		}
		if waited && w.m.now.Sub(a.since[d.Key]) >= 150*time.Millisecond {
			w.m.t.Fatalf("opening of %s was sent late", d.Key)
		}
		delete(a.since, d.Key)
		w.checkPlace(a, d.Key)
	}
}

// checkPlace checks the priority of an opening that got a place against those that wait.
func (w *waitingMonitor) checkPlace(a *waitingAtAgent, k flow.Key) {
	more, less := false, false
	for other := range a.since {
		more = more || w.priority(other) < w.priority(k)
		less = less || w.priority(other) > w.priority(k)
	}
	switch {
	case more && a.passed < 3:
		w.m.t.Fatalf("opening of %s overtook one of a higher priority", k)
	case less:
		a.passed++
	default:
		a.passed = 0
	}
	if a.passed > 3 {
		w.m.t.Fatalf("the lowest priority got none of four places")
	}
}

// check compares the monitor with the agents' queues.
func (w *waitingMonitor) check() {
	if w == nil {
		return
	}
	for _, a := range w.m.agents {
		seen := w.agents[a.tracker]
		if seen == nil || !a.up || a.removed {
			continue
		}
		if n := a.tracker.waiting.Len(); n > 16 || n != len(seen.since) {
			w.m.t.Fatalf("%d openings wait, %d are expected", n, len(seen.since))
		}
		for k, since := range seen.since {
			if w.m.now.Sub(since) > 150*time.Millisecond+tickPeriod {
				w.m.t.Fatalf("opening of %s has waited since %v", k, since)
			}
		}
	}
}

// burst opens many flows at once while upstreams of the service do not answer, and lets
// them answer later.
func (m *faultMachine) burst() {
	for _, a := range m.agents {
		a.upstream.stalled = true
	}
	first := len(m.callers)
	for range rapid.IntRange(20, 60).Draw(m.t, "openings") {
		m.flows++
		route := rapid.SampledFrom([]netip.AddrPort{routeA, routeC}).Draw(m.t, "route")
		c := &simCaller{key: flow.KeyOf(flow.EndpointOf(addrOf(9, m.flows)), flow.EndpointOf(route)), opened: m.now}
		m.callers = append(m.callers, c)
		m.send(m.drawEntry(), makePacket(c.key.Caller(), c.key.Route(), 1, 7, 0, 0))
	}
	m.deliverAll()
	for _, c := range m.callers[first:] {
		if c.open && !c.reset {
			m.request(c, m.drawEntry())
		}
	}
	for range rapid.IntRange(0, 8).Draw(m.t, "ticks") {
		m.advance(tickPeriod)
		for _, a := range m.agents {
			m.answerSome(a)
		}
	}
	for _, a := range m.agents {
		a.upstream.stalled = false
		for len(a.upstream.unanswered) > 0 {
			m.answerFirst(a)
		}
	}
	m.deliverAll()
}

// answerSome answers some of the requests that an upstream has not answered.
func (m *faultMachine) answerSome(a *simAgent) {
	for range rapid.IntRange(0, 3).Draw(m.t, "answers") {
		if len(a.upstream.unanswered) > 0 {
			m.answerFirst(a)
		}
	}
	m.deliverAll()
}

func (m *faultMachine) answerFirst(a *simAgent) {
	k := a.upstream.unanswered[0]
	a.upstream.unanswered = a.upstream.unanswered[1:]
	if _, held := a.upstream.flows[k]; held && !a.upstream.down {
		a.agentReceives(makePacket(k.Route(), k.Caller(), 16, 0, 0, 100))
	}
}
