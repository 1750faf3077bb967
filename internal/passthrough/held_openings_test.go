package passthrough

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// After a loss of power (scenario power_off_all) callers reach entries that have just
// started: at first an entry knows no routes, then no agents. It keeps their opening
// packets, so that they need not wait for the next copy, which comes 0.2 or 0.4 s later.
func TestStartingEntryKeepsOpenings(t *testing.T) {
	for _, agents := range []int{15, 62, 195} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 2, agents)
			e := sim.entries[0]
			e.start() // without a view
			var callers []*simCaller
			for i := range 50 {
				callers = append(callers, sim.sendOpening(e, i))
			}
			sim.deliverAll()
			sim.advance(2 * tickPeriod)
			withoutAgents := e.views.build(sim.now, sim.fleet, nil, nil)
			e.router.SetView(sim.now, withoutAgents)
			sim.advance(2 * tickPeriod)
			sim.syncViews()
			sim.deliverAll()
			for _, c := range callers {
				is.True(c.open) // with the first copy
			}
			is.Equal(len(e.router.heldOpenings), 0)
		})
	}
}

// What can't be served is refused, or met by silence, as before: a kept packet is handled
// after openingHoldTime, and an entry that has run for longer keeps none.
func TestKeptOpeningsAreBounded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 0)
	e := sim.entries[0]
	c := sim.sendOpening(e, 1)
	sim.deliverAll()
	is.Equal(len(e.router.heldOpenings), 1)
	sim.advance(openingHoldTime + tickPeriod)
	is.Equal(len(e.router.heldOpenings), 0)
	is.True(!c.reset) // a later copy may be accepted
	sim.advance(startPeriod)
	sim.send(e, makePacket(c.key.Caller(), c.key.Route(), 1, 7, lastCopyNumber, 0))
	sim.deliverAll()
	is.True(c.reset)
	e.start()
	for i := range maxHeldOpenings + 10 {
		sim.sendOpening(e, i+2)
	}
	sim.deliverAll()
	is.Equal(len(e.router.heldOpenings), maxHeldOpenings)
}

// An address without a route gets its reset as soon as the configuration is known.
func TestKeptOpeningWithoutRoute(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	e := sim.entries[0]
	e.start()
	unknown := flow.EndpointOf(addrOf(8, 1))
	c := &simCaller{key: flow.KeyOf(flow.EndpointOf(addrOf(9, 1)), unknown)}
	sim.callers = append(sim.callers, c)
	sim.send(e, makePacket(c.key.Caller(), unknown, 1, 7, 0, 0))
	sim.deliverAll()
	is.True(!c.reset)
	sim.syncViews()
	is.True(c.reset)
}

// sendOpening sends the first copy of an opening packet to an entry.
func (sim *simulation) sendOpening(e *simEntry, i int) *simCaller {
	c := &simCaller{key: flow.KeyOf(flow.EndpointOf(addrOf(byte(9+i>>16), i)), flow.EndpointOf(routeA)), opened: sim.now}
	sim.callers = append(sim.callers, c)
	sim.send(e, makePacket(c.key.Caller(), c.key.Route(), 1, 7, 0, 0))
	return c
}
