package passthrough

import (
	"testing"

	"crocusnotch/internal/flow"
)

// discardOutbox discards all packets and messages of an entry or agent.
type discardOutbox struct{}

func (discardOutbox) Forward(flow.Endpoint, flow.Metadata, []byte) {}
func (discardOutbox) Query(flow.Endpoint, flow.Metadata, []byte)   {}
func (discardOutbox) SendMessage(flow.Endpoint, *Message)          {}
func (discardOutbox) Reset(flow.Key, uint32)                       {}
func (discardOutbox) ToUpstream([]byte)                            {}
func (discardOutbox) ToCaller(flow.Key, []byte)                    {}

// newBenchFlow returns a simulation with one open flow whose packets are discarded.
func newBenchFlow(tb testing.TB) (*simulation, *simCaller) {
	sim := newSimulation(tb.Fatalf, 1, 3)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	if !c.open {
		tb.Fatal("the flow did not open")
	}
	sim.entries[0].router.out = discardOutbox{}
	for _, a := range sim.agents {
		a.tracker.Out = discardOutbox{}
	}
	return sim, c
}

func (sim *simulation) agentOf(c *simCaller) *simAgent {
	for _, a := range sim.agents {
		if a.upstream == c.owner {
			return a
		}
	}
	return nil
}

func TestForwardingDoesNotAllocate(t *testing.T) {
	sim, c := newBenchFlow(t)
	packet := makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 120)
	answer := makePacket(c.key.Route(), c.key.Caller(), 16, 8, 9, 1200)
	a := sim.agentOf(c)
	n := testing.AllocsPerRun(1000, func() {
		s, _ := codec.Decode(packet)
		sim.entries[0].router.Packet(sim.now, &s, packet)
		a.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
		u, _ := codec.Decode(answer)
		a.tracker.FromUpstream(sim.now, &u, answer, sim.entries[0].addr)
	})
	if n != 0 {
		t.Errorf("%v allocations for a packet and its answer", n)
	}
}

func BenchmarkEntryPacket(b *testing.B) {
	sim, c := newBenchFlow(b)
	packet := makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 120)
	b.ReportAllocs()
	for b.Loop() {
		s, _ := codec.Decode(packet)
		sim.entries[0].router.Packet(sim.now, &s, packet)
	}
}

func BenchmarkAgentPacketAndAnswer(b *testing.B) {
	sim, c := newBenchFlow(b)
	packet := makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 120)
	answer := makePacket(c.key.Route(), c.key.Caller(), 16, 8, 9, 1200)
	a := sim.agentOf(c)
	b.ReportAllocs()
	for b.Loop() {
		s, _ := codec.Decode(packet)
		a.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
		u, _ := codec.Decode(answer)
		a.tracker.FromUpstream(sim.now, &u, answer, sim.entries[0].addr)
	}
}
