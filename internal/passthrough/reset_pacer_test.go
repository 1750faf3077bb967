package passthrough

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// After a loss of power (scenario power_off_all, pattern thundering return) all open
// flows turn out to have no owner in the same moment. Their callers come back at the
// rate that the upstreams can serve, the whole fleet's entries together, and all of them
// within three seconds.
func TestReturnsArePacedByCapacity(t *testing.T) {
	for _, size := range []struct{ entries, agents, flows int }{{9, 16, 250}, {16, 62, 600}, {59, 136, 1500}} {
		t.Run(fmt.Sprint(size.entries+size.agents), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, size.entries, size.agents)
			sim.advance(time.Second)
			resets := map[*simEntry]int{}
			for _, e := range sim.entries {
				e.router.out = &resetCounter{Outbox: e, count: func() { resets[e]++ }}
			}
			for i := range size.flows {
				k := flow.KeyOf(flow.EndpointOf(addrOf(9, i)), flow.EndpointOf(routeA))
				e := sim.entries[i%size.entries]
				sim.send(e, makePacket(k.Caller(), k.Route(), 16, 8, 9, 100))
			}
			sim.deliverAll()
			const slotsPerAgent = 5
			perTick := float64(slotsPerAgent*size.agents)*resetsPerSlot + float64(size.entries) // rounded up by each entry
			total, before := 0, 0
			for range 3 * time.Second / tickPeriod {
				sim.advance(tickPeriod)
				total = 0
				for _, n := range resets {
					total += n
				}
				is.True(float64(total-before) <= perTick)
				before = total
			}
			is.Equal(total, size.flows)
		})
	}
}

// resetCounter counts the resets of an entry.
type resetCounter struct {
	Outbox
	count func()
}

func (c *resetCounter) Reset(k flow.Key, seq uint32) {
	c.count()
	c.Outbox.Reset(k, seq)
}

// A flow that its caller opens again while its reset waits is not reset.
func TestFlowOpenedAgainIsNotReset(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	sim.advance(time.Second)
	e := sim.entries[0]
	var keys []flow.Key
	for i := range 40 {
		k := flow.KeyOf(flow.EndpointOf(addrOf(9, i)), flow.EndpointOf(routeA))
		keys = append(keys, k)
		sim.send(e, makePacket(k.Caller(), k.Route(), 16, 8, 9, 100))
	}
	sim.deliverAll()
	sim.advance(3 * tickPeriod)
	last := keys[e.lastReset(keys)]
	is.True(e.router.flows[last].resetPending)
	c := &simCaller{key: last}
	sim.callers = append(sim.callers, c)
	sim.send(e, makePacket(last.Caller(), last.Route(), 1, 7, 0, 0))
	sim.deliverAll()
	is.True(c.open)
	sim.advance(time.Second)
	is.True(!c.reset)
}

// lastReset returns the index of the key that is reset last.
func (e *simEntry) lastReset(keys []flow.Key) int {
	pending := e.router.resets.late
	for i, k := range keys {
		if k == pending[len(pending)-1].key {
			return i
		}
	}
	return -1
}
