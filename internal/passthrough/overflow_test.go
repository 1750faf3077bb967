package passthrough

import (
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// All agents of a service are busy, as after an outage or in the peak of a common rhythm,
// while those of the route's other service have free slots: new flows must use them, and
// only them. The route's weights say which service a flow has otherwise.
func TestBusyServiceOverflowsToAnotherOfTheRoute(t *testing.T) {
	for name, tt := range map[string]struct {
		choices  []config.Choice
		betaBusy bool
		service  string // that the flow opens at
	}{
		"free":             {[]config.Choice{{Service: "alpha", Weight: 100}, {Service: "beta", Weight: 1}}, false, "beta"},
		"busy too":         {[]config.Choice{{Service: "alpha", Weight: 100}, {Service: "beta", Weight: 1}}, true, "alpha"},
		"not to be used":   {[]config.Choice{{Service: "alpha", Weight: 100}, {Service: "beta", Weight: 0}}, false, "alpha"},
		"not of the route": {[]config.Choice{{Service: "alpha", Weight: 1}}, false, "alpha"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 1, 6)
			sim.fleet.Routes[routeA].Choices = tt.choices
			sim.syncViews()
			// A key that the weights give to alpha, whatever its hash is.
			first := 1
			for flow.ServiceOf(sim.fleet.Routes[routeA], flow.KeyOf(flow.EndpointOf(addrOf(9, first)), flow.EndpointOf(routeA))) != "alpha" {
				first++
			}
			for _, a := range sim.agents {
				if a.service == "alpha" || tt.betaBusy {
					a.tracker.busyRequests = a.tracker.Last().Slots + 2
				}
			}
			c := sim.open(first, routeA, func() *simEntry { return sim.entries[0] })
			is.True(c.open)
			is.Equal(sim.agentOf(c).service, tt.service)
		})
	}
}

// While agents of its own service accept a flow, it does not leave that service.
func TestServiceWithFreeAgentsDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	sim.fleet.Routes[routeA].Choices = []config.Choice{{Service: "alpha", Weight: 1000}, {Service: "beta", Weight: 1}}
	sim.syncViews()
	busy := 0
	for _, a := range sim.agents {
		if a.service == "alpha" && busy < 3 { // one of four accepts
			a.tracker.busyRequests, busy = a.tracker.Last().Slots+2, busy+1
		}
	}
	for i := range 20 {
		k := flow.KeyOf(flow.EndpointOf(addrOf(9, i)), flow.EndpointOf(routeA))
		if flow.ServiceOf(sim.fleet.Routes[routeA], k) != "alpha" {
			continue
		}
		c := sim.open(i, routeA, func() *simEntry { return sim.entries[0] })
		is.Equal(sim.agentOf(c).service, "alpha")
	}
}
