package passthrough

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
)

// heapAfter returns the bytes that build leaves on the heap.
func heapAfter(build func() any) (bytes float64, kept any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), kept
}

func slopeKey(i int) flow.Key {
	return flow.KeyOf(flow.EndpointOf(addrOf(byte(9+i>>16), i)), flow.EndpointOf(routeA))
}

// BenchmarkRouterFlows gives memory for each flow of an entry and the time of a
// packet of a random one.
func BenchmarkRouterFlows(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(b.Fatalf, 3, 3)
			r := w.entries[0].router
			r.out = nowhere{}
			size, _ := heapAfter(func() any {
				for i := range n {
					r.Message(w.now, w.agents[0].addr, &Message{Kind: KindOwned, Key: slopeKey(i)})
				}
				r.Tick(w.now)
				return r
			})
			packet := makePacket(flow.Endpoint{}, flow.EndpointOf(routeA), 16, 8, 1, 120)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				k := slopeKey(i * 7919 % n)
				caller := k.Caller()
				copy(packet[24:], caller[:4])
				copy(packet[28:], caller[4:])
				s, _ := codec.Decode(packet)
				r.Packet(w.now, &s, packet)
			}
			b.ReportMetric(size/float64(n), "B/flow")
		})
	}
}

// BenchmarkKeeperFlows gives the same for an agent.
func BenchmarkKeeperFlows(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(b.Fatalf, 1, 3)
			a := w.agents[0].keeper
			a.Out = nowhere{}
			back := makePacket(flow.EndpointOf(routeA), flow.Endpoint{}, 16, 8, 1, 0)
			one := func(i int) {
				caller := slopeKey(i).Caller()
				copy(back[20:], caller[:4])
				copy(back[18:], caller[4:])
				s, _ := codec.Decode(back)
				a.FromUpstream(w.now, &s, back, w.entries[0].addr)
			}
			size, _ := heapAfter(func() any {
				for i := range n {
					one(i)
				}
				return a
			})
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				one(i * 7919 % n)
			}
			b.ReportMetric(size/float64(n), "B/flow")
		})
	}
}

// BenchmarkSweep gives the time of one look through all flows of an entry, made
// once a second.
func BenchmarkSweep(b *testing.B) {
	w := newWorld(b.Fatalf, 3, 3)
	r := w.entries[0].router
	r.out = nowhere{}
	for i := range 100_000 {
		r.Message(w.now, w.agents[0].addr, &Message{Kind: KindOwned, Key: slopeKey(i)})
	}
	r.Tick(w.now)
	for b.Loop() {
		r.sweep(w.now)
	}
}

// BenchmarkView gives the time of a view after a change of one member.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{10, 1000, 26_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newViewBuilder(&config.Passthrough{Data: addrOf(1, 1), Zones: map[string]string{"z1": "r"}, FlowMaxSeconds: 60})
			members := make([]membership.Record, n)
			for i := range members {
				members[i] = membership.Record{Addr: addrOf(2, i), Role: membership.RoleAgent, State: membership.StateReady, Slots: 5, Service: 7}
			}
			fleet := config.Empty()
			b.ReportAllocs()
			for b.Loop() {
				v.build(worldStart.Add(time.Second), fleet, members, nil)
			}
		})
	}
}
