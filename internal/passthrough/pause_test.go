package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// An agent that was suspended refuses new flows until it knows what changed meanwhile,
// and keeps its open ones: its zone may have been taken out of service.
func TestResumedAgentRefusesNewFlows(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	is.True(c.open)
	for _, a := range sim.agents {
		a.tracker.SetStale(true)
	}
	before := 0
	for _, a := range sim.agents {
		before += len(a.upstream.flows)
	}
	refused := sim.open(2, routeA, func() *simEntry { return sim.entries[0] })
	is.True(!refused.open)
	after := 0
	for _, a := range sim.agents {
		after += len(a.upstream.flows)
	}
	is.Equal(after, before) // no upstream received it
	sim.request(c, sim.entries[0])
	is.Equal(c.undelivered, 0)
	is.True(!c.reset)
	for _, a := range sim.agents {
		a.tracker.SetStale(false)
	}
	is.True(sim.open(3, routeA, func() *simEntry { return sim.entries[0] }).open)
}

// The reason of the refusal sends the flow on to another agent.
func TestFlowGoesPastResumedAgent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6)
	for _, a := range sim.agents {
		if a.service == "alpha" {
			a.tracker.SetStale(true)
			break
		}
	}
	for i := range 8 {
		is.True(sim.open(i, routeA, func() *simEntry { return sim.entries[i%2] }).open)
	}
}

// While an instance is suspended its monotonic clock stands still, so the configuration
// looks as fresh as before. An entry resets no flow to an address that may have been
// added meanwhile.
func TestResumedEntryResetsNoUnknownRoute(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	e := sim.entries[0]
	paused := true
	e.router.SetPaused(func() bool { return paused })
	added := flow.EndpointOf(addrOf(8, 1))
	unknown := &simCaller{key: flow.KeyOf(flow.EndpointOf(addrOf(9, 1)), added)}
	sim.callers = append(sim.callers, unknown)
	sim.send(e, makePacket(unknown.key.Caller(), added, 1, 7, 0, 0))
	sim.deliverAll()
	is.True(!unknown.reset)
	paused = false
	sim.advance(200 * time.Millisecond)
	sim.send(e, makePacket(unknown.key.Caller(), added, 1, 7, 1, 0))
	sim.deliverAll()
	is.True(unknown.reset)
}
