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

// heapGrowth returns the bytes by which build increases the heap.
func heapGrowth(build func() any) (bytes float64, result any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), result
}

func nthKey(i int) flow.Key {
	return flow.KeyOf(flow.EndpointOf(addrOf(byte(9+i>>16), i)), flow.EndpointOf(routeA))
}

// BenchmarkRouterFlows measures an entry's memory for each flow and the time to route
// a packet of a random one.
func BenchmarkRouterFlows(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sim := newSimulation(b.Fatalf, 3, 3)
			r := sim.entries[0].router
			r.out = discardOutbox{}
			size, _ := heapGrowth(func() any {
				for i := range n {
					r.Message(sim.now, sim.agents[0].addr, &Message{Kind: KindOwned, Key: nthKey(i)})
				}
				r.Tick(sim.now)
				return r
			})
			packet := makePacket(flow.Endpoint{}, flow.EndpointOf(routeA), 16, 8, 1, 120)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				k := nthKey(i * 7919 % n)
				caller := k.Caller()
				copy(packet[24:], caller[:4])
				copy(packet[28:], caller[4:])
				s, _ := codec.Decode(packet)
				r.Packet(sim.now, &s, packet)
			}
			b.ReportMetric(size/float64(n), "B/flow")
		})
	}
}

// BenchmarkTrackerFlows measures the same for an agent.
func BenchmarkTrackerFlows(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sim := newSimulation(b.Fatalf, 1, 3)
			a := sim.agents[0].tracker
			a.Out = discardOutbox{}
			answer := makePacket(flow.EndpointOf(routeA), flow.Endpoint{}, 16, 8, 1, 0)
			learn := func(i int) {
				caller := nthKey(i).Caller()
				copy(answer[20:], caller[:4])
				copy(answer[18:], caller[4:])
				s, _ := codec.Decode(answer)
				a.FromUpstream(sim.now, &s, answer, sim.entries[0].addr)
			}
			size, _ := heapGrowth(func() any {
				for i := range n {
					learn(i)
				}
				return a
			})
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				learn(i * 7919 % n)
			}
			b.ReportMetric(size/float64(n), "B/flow")
		})
	}
}

// BenchmarkSweep measures one sweep over all flows of an entry, which runs once a
// second.
func BenchmarkSweep(b *testing.B) {
	sim := newSimulation(b.Fatalf, 3, 3)
	r := sim.entries[0].router
	r.out = discardOutbox{}
	for i := range 100_000 {
		r.Message(sim.now, sim.agents[0].addr, &Message{Kind: KindOwned, Key: nthKey(i)})
	}
	r.Tick(sim.now)
	for b.Loop() {
		r.sweep(sim.now)
	}
}

// BenchmarkView measures the time to build a view, as after a change of one member.
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
				v.build(simStart.Add(time.Second), fleet, members, nil)
			}
		})
	}
}
