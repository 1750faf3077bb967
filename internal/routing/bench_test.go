package routing

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
)

// Numbers of endpoints and service addresses that the system is designed for.
const (
	designEndpoints = 26000
	designAddresses = 16000
)

var benchSizes = []int{10, 100, 1000, 10000, designEndpoints}

// BenchmarkOwner measures the decision for a packet with a valid token.
func BenchmarkOwner(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := testFleet()
			table := NewTable(fleet, "west-1", agentRecords(n))
			packets := make([][]byte, 4096)
			for i := range packets {
				t := Token{Agent: agentAddr(i % n), Service: testService, Zone: west1}
				packets[i] = shortHeaderPacket(AppendToken(nil, fleet.Keys, t))
			}
			benchDecide(b, table, packets, []netip.AddrPort{testAddress}, ForwardOwner)
		})
	}
}

// BenchmarkCandidates measures the choice of candidates for a new flow.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable(testFleet(), "west-1", agentRecords(n))
			benchDecide(b, table, newFlowPackets(), []netip.AddrPort{testAddress}, ForwardCandidates)
		})
	}
}

// BenchmarkCandidatesManyServices measures the choice of candidates for a new
// flow with designEndpoints agents in designAddresses services.
func BenchmarkCandidatesManyServices(b *testing.B) {
	fleet, addresses, records := designFleet()
	table := NewTable(fleet, "west-1", records)
	benchDecide(b, table, newFlowPackets(), addresses, ForwardCandidates)
}

// BenchmarkNewTable measures building a table from scratch.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("one-service/%d", n), func(b *testing.B) {
			benchNewTable(b, testFleet(), agentRecords(n))
		})
	}
	b.Run(fmt.Sprintf("spread/%d", designEndpoints), func(b *testing.B) {
		fleet, _, records := designFleet()
		benchNewTable(b, fleet, records)
	})
}

// BenchmarkRebuild measures rebuilding the table after one agent has changed.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("one-service/%d", n), func(b *testing.B) {
			benchRebuild(b, testFleet(), agentRecords(n))
		})
	}
	b.Run(fmt.Sprintf("spread/%d", designEndpoints), func(b *testing.B) {
		fleet, _, records := designFleet()
		benchRebuild(b, fleet, records)
	})
}

func benchRebuild(b *testing.B, fleet *config.Fleet, records []membership.Record) {
	b.ReportAllocs()
	table := NewTable(fleet, "west-1", records)
	states := [...]membership.State{membership.StateDraining, membership.StateCold, membership.StateReady}
	i := 0
	for b.Loop() {
		records[i/len(states)%len(records)].State = states[i%len(states)]
		table = table.Rebuild(fleet, records)
		i++
	}
}

func benchNewTable(b *testing.B, fleet *config.Fleet, records []membership.Record) {
	b.ReportAllocs()
	before := liveBytes()
	var table *Table
	for b.Loop() {
		table = NewTable(fleet, "west-1", records)
	}
	b.ReportMetric(float64(liveBytes()-before), "live-B")
	runtime.KeepAlive(table)
}

// liveBytes returns the size of all reachable objects.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func benchDecide(b *testing.B, table *Table, packets [][]byte, to []netip.AddrPort, want Verdict) {
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		d := table.Decide(packets[i%len(packets)], testCaller, to[i%len(to)])
		if d.Verdict != want {
			b.Fatal(d.Verdict)
		}
		i++
	}
}

func newFlowPackets() [][]byte {
	packets := make([][]byte, 4096)
	for i := range packets {
		packets[i] = longHeaderPacket(callerChosenID(i))
	}
	return packets
}

// designFleet returns designEndpoints agents in designAddresses services of one
// address each.
func designFleet() (*config.Fleet, []netip.AddrPort, []membership.Record) {
	fleet := testFleet()
	addresses := make([]netip.AddrPort, designAddresses)
	for i := range addresses {
		ip := netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)})
		addresses[i] = netip.AddrPortFrom(ip, 443)
		s := &config.Service{ID: uint16(i + 1), Targets: config.Targets{FreshShare: 0.2}}
		fleet.Services[s.ID] = s
		fleet.ByAddress[addresses[i]] = s
	}
	records := agentRecords(designEndpoints)
	for i := range records {
		records[i].Service = uint16(i%designAddresses + 1)
	}
	return fleet, addresses, records
}
