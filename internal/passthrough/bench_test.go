package passthrough

import (
	"testing"

	"crocusnotch/internal/flow"
)

// nowhere drops what an entry or agent sends.
type nowhere struct{}

func (nowhere) Forward(flow.Endpoint, flow.Metadata, []byte) {}
func (nowhere) Query(flow.Endpoint, flow.Metadata, []byte)   {}
func (nowhere) SendMessage(flow.Endpoint, *Message)          {}
func (nowhere) Reset(flow.Key, uint32)                       {}
func (nowhere) ToUpstream([]byte)                            {}
func (nowhere) ToCaller(flow.Key, []byte)                    {}

// benchFlow returns a world with one open flow whose packets go nowhere.
func benchFlow(tb testing.TB) (*world, *worldCaller) {
	w := newWorld(tb.Fatalf, 1, 3)
	c := w.open(1, routeA, func() *worldEntry { return w.entries[0] })
	if !c.open {
		tb.Fatal("the flow did not open")
	}
	w.entries[0].router.out = nowhere{}
	for _, a := range w.agents {
		a.keeper.Out = nowhere{}
	}
	return w, c
}

func (w *world) holder(c *worldCaller) *worldAgent {
	for _, a := range w.agents {
		if a.upstream == c.owner {
			return a
		}
	}
	return nil
}

func TestPathOfAPacketDoesNotAllocate(t *testing.T) {
	w, c := benchFlow(t)
	packet := makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 120)
	back := makePacket(c.key.Route(), c.key.Caller(), 16, 8, 9, 1200)
	a := w.holder(c)
	n := testing.AllocsPerRun(1000, func() {
		s, _ := codec.Decode(packet)
		w.entries[0].router.Packet(w.now, &s, packet)
		a.keeper.Packet(w.now, w.entries[0].addr, &s, packet)
		u, _ := codec.Decode(back)
		a.keeper.FromUpstream(w.now, &u, back, w.entries[0].addr)
	})
	if n != 0 {
		t.Errorf("%v allocations for a packet and its answer", n)
	}
}

func BenchmarkEntryPacket(b *testing.B) {
	w, c := benchFlow(b)
	packet := makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 120)
	b.ReportAllocs()
	for b.Loop() {
		s, _ := codec.Decode(packet)
		w.entries[0].router.Packet(w.now, &s, packet)
	}
}

func BenchmarkAgentPacketAndAnswer(b *testing.B) {
	w, c := benchFlow(b)
	packet := makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 120)
	back := makePacket(c.key.Route(), c.key.Caller(), 16, 8, 9, 1200)
	a := w.holder(c)
	b.ReportAllocs()
	for b.Loop() {
		s, _ := codec.Decode(packet)
		a.keeper.Packet(w.now, w.entries[0].addr, &s, packet)
		u, _ := codec.Decode(back)
		a.keeper.FromUpstream(w.now, &u, back, w.entries[0].addr)
	}
}
