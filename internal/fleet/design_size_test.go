package fleet

import (
	"io"
	"log/slog"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/membership"
)

// The fleet size that the design must support, with seven agents per service.
const (
	designEntries  = 4900
	designAgents   = 26000
	designServices = designAgents / 7
)

// TestEntryAtDesignSize prints the heap of one entry that knows a fleet of the
// design size, and the processor time of its less frequent operations. It runs only
// with CROCUS_SLOPES set.
func TestEntryAtDesignSize(t *testing.T) {
	if os.Getenv("CROCUS_SLOPES") == "" {
		t.Skip("CROCUS_SLOPES is not set")
	}
	records, objects := designFleet(t)
	b := newTestBench(t)
	before := heapBytes()
	conn, l := b.net.open(memberAddr("e1"), "pier")
	n, err := New(Options{
		Self: membership.Record{Addr: memberAddr("e1"), Control: memberAddr("e1"), Role: membership.RoleEntry},
		Zone: "pier", Conn: conn, Listener: l, Call: b.net.callFrom(memberAddr("e1")),
		Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	step := func(name string, f func()) {
		began := processTime()
		f()
		t.Logf("%-34s %v of processor time", name, processTime()-began)
	}
	step("merge all records and objects", func() { n.core.Merge(now, records, objects) })
	step("first configuration", func() { n.rebuildConfig(now) })
	objects[0].Revision = 1 << 30
	step("one object changed", func() {
		n.core.Merge(now, nil, objects[:1])
		n.rebuildConfig(now)
	})
	step("copy of all records", func() {
		members := n.core.Members()
		n.members.Store(&members)
	})
	var size int
	step("whole snapshot for a new entry", func() {
		for cursor := 0; ; {
			r, o, next := n.core.Snapshot(membership.SnapshotQuery{Page: cursor})
			encoded, err := encodePage(page{Records: r, Objects: o})
			if err != nil {
				t.Fatal(err)
			}
			size += len(encoded)
			if cursor = next; next == 0 {
				return
			}
		}
	})
	n.events = explain.NewRing("", 1)
	n.core.TakeOutput()
	t.Logf("%d records and %d objects: heap %d MB, snapshot %d KB", len(records), len(objects), (heapBytes()-before)>>20, size>>10)
	runtime.KeepAlive(n)
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// designFleet returns the records and objects of a fleet of the design size.
func designFleet(t *testing.T) (records []membership.Record, objects []config.Object) {
	for i := range designEntries + designAgents {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		r := membership.Record{
			Addr: a, Control: a, Role: membership.RoleEntry, Zone: uint8(1 + i%5), State: membership.StateReady,
			Incarnation: uint64(1764800000000 + i), Version: uint32(i % 100),
		}
		if i >= designEntries {
			r.Role, r.Relay, r.Service, r.Slots, r.Connections = membership.RoleAgent, a, uint16(1+i/7), 5, 2000
		}
		records = append(records, r)
	}
	for i := range designServices {
		name := "s" + strconv.Itoa(i)
		var addresses []string
		for a := range 4 {
			addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), byte(a)}), 443).String())
		}
		value, err := config.Encode(testService(name, uint16(i+1), addresses...))
		if err != nil {
			t.Fatal(err)
		}
		objects = append(objects, config.Object{Kind: config.KindService, Name: name, Revision: uint64(i + 1), Value: value})
	}
	return records, objects
}
