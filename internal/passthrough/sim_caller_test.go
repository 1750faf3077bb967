package passthrough

import (
	"net/netip"
	"time"

	"crocusnotch/internal/flow"
)

// send sends a packet to an entry that is up.
func (sim *simulation) send(e *simEntry, packet []byte) {
	if !e.up {
		return
	}
	s, err := codec.Decode(packet)
	if err != nil {
		sim.fatalf("a caller sent a malformed packet: %v", err)
		return
	}
	sim.enqueue(func() {
		if e.up {
			e.router.Packet(sim.now, &s, packet)
		}
	})
}

// open starts a flow and sends copies of its opening packet until it is open or
// reset.
func (sim *simulation) open(i int, route netip.AddrPort, pick func() *simEntry) *simCaller {
	c := &simCaller{key: flow.KeyOf(flow.EndpointOf(addrOf(9, i)), flow.EndpointOf(route)), opened: sim.now}
	sim.callers = append(sim.callers, c)
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		sim.send(pick(), makePacket(c.key.Caller(), c.key.Route(), 1, 7, uint32(copies), 0))
		sim.deliverAll()
		if !c.open && !c.reset {
			sim.advance(wait)
		}
		if c.open || c.reset {
			break // it may have opened while it waited at an agent; callers then send no more copies
		}
	}
	return c
}

// request sends a packet with data on an open flow.
func (sim *simulation) request(c *simCaller, e *simEntry) {
	const size = 120
	c.undelivered++
	sim.send(e, makePacket(c.key.Caller(), c.key.Route(), 16, 8+c.sent, c.seq+1, size))
	c.sent += size
	sim.deliverAll() // delivers all copies of the packet that a search sends
	if c.misdelivered >= 3 && c.undelivered >= 3 {
		sim.fatalf("three packets of flow %s reached other upstreams and none reached its own", c.key)
	}
}
