package membership

import (
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"crocusnotch/internal/config"
)

// Shape of the measured fleets: the share of entries at the design size, five
// zones in two regions, services of seven agents.
const (
	designEntries     = 4900
	designAgents      = 26000
	scalingZones      = 5
	agentsPerService  = 7
	scalingWarmUp     = 15 * time.Second
	scalingSteady     = 20 * time.Second
	scalingRepeats    = 3
	scalingUpdates    = 20
	scalingSeed       = 1
	scalingSizes      = "50,200,800"
	scalingValueBytes = 500 // approximate bytes of a service object
	scalingTimeout    = 60 * time.Second
)

// roleCosts is the sum of the costs of the processes of one role.
type roleCosts struct {
	count    int
	bytesIn  int
	bytesOut int
	cpu      time.Duration
}

func (f roleCosts) perSecond(d time.Duration) string {
	n := float64(f.count) * d.Seconds()
	return fmt.Sprintf("%6.0f B/s in %6.0f B/s out %7.1f us/s cpu", float64(f.bytesIn)/n, float64(f.bytesOut)/n, float64(f.cpu.Microseconds())/n)
}

func threadCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestScalingCosts logs the costs and delays of fleets of increasing size. It runs
// only with CROCUS_SLOPES set, to 1 or to a list of sizes.
func TestScalingCosts(t *testing.T) {
	sizes := os.Getenv("CROCUS_SLOPES")
	if sizes == "" {
		t.Skip("CROCUS_SLOPES is not set")
	}
	if sizes == "1" {
		sizes = scalingSizes
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, size := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		logFleetCosts(t, n)
	}
}

func logFleetCosts(t *testing.T, n int) {
	s := newSim(t, scalingSeed)
	entries := max(3, n*designEntries/(designEntries+designAgents))
	memory := s.fill(entries, n-entries)
	s.run(scalingWarmUp)
	entry, agent := s.measure(scalingSteady)
	t.Logf("members %d: %d entries, %d agents, services of %d", n, entries, n-entries, agentsPerService)
	t.Logf("  steady entry  %s  heap %d KB", entry.perSecond(scalingSteady), memory[0]>>10)
	t.Logf("  steady agent  %s  heap %d KB", agent.perSecond(scalingSteady), memory[1]>>10)
	t.Logf("  change of configuration in force everywhere %v", s.timeChanges())
	t.Logf("  change of a record at all entries %v", s.timeUpdates())
	s.logCostOfChanges(t, entry)
	t.Logf("  agent stopped: suspect at all entries, dead at all %v", s.timeDeaths(RoleAgent))
	t.Logf("  entry stopped: suspect at all entries, dead at all %v", s.timeDeaths(RoleEntry))
	s.logRegionPartition(t)
	s.logZoneLoss(t)
}

// fill starts a fleet whose members already have each other's records. It returns
// the heap of one entry and one agent in bytes.
func (s *sim) fill(entries, agents int) [2]uint64 {
	var zones []config.Object
	for z := range scalingZones {
		zones = append(zones, testObject(string(rune('a'+z%2))+strconv.Itoa(z), uint8(z+1), uint64(z+1), false))
	}
	for i := range entries {
		s.add(RoleEntry, 0, uint8(1+i%scalingZones))
	}
	for i := range agents {
		s.add(RoleAgent, uint16(1+i/agentsPerService), uint8(1+i%scalingZones))
	}
	var all []Record
	for _, n := range s.nodes {
		all = append(all, n.core.Self())
	}
	before := heapInUse()
	for _, n := range s.nodes[:entries] {
		n.core.Merge(s.now, all, zones)
		n.core.spread = spreadState{records: map[netip.AddrPort]*rumor{}, objects: map[config.ID]*rumor{}}
		n.core.TakeOutput()
	}
	between := heapInUse()
	for i, n := range s.nodes[entries:] {
		s.snapshot(n, s.nodes[i%entries])
		n.core.TakeOutput()
	}
	after := heapInUse()
	return [2]uint64{(between - before) / uint64(entries), (after - between) / uint64(agents)}
}

// measure runs for d and returns the sum of the costs of each role.
func (s *sim) measure(d time.Duration) (entry, agent roleCosts) {
	for _, n := range s.nodes {
		n.bytesIn, n.bytesOut, n.cpu = 0, 0, 0
	}
	s.run(d)
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		f := &entry
		if n.core.self.Role == RoleAgent {
			f = &agent
		}
		f.count++
		f.bytesIn += n.bytesIn
		f.bytesOut += n.bytesOut
		f.cpu += n.cpu
	}
	return entry, agent
}

// runUntil runs until the condition holds for all running processes, or
// scalingTimeout ends, and returns the time that it took.
func (s *sim) runUntil(holds func(n *simNode) bool) time.Duration {
	began := s.now
	for s.now.Sub(began) < scalingTimeout {
		s.run(simStep)
		all := true
		for _, n := range s.nodes {
			if n.up && !holds(n) {
				all = false
				break
			}
		}
		if all {
			break
		}
	}
	return s.now.Sub(began)
}

func (s *sim) randomRunning(role Role) *simNode {
	for {
		n := s.nodes[s.rand.IntN(len(s.nodes))]
		if n.up && n.core.self.Role == role {
			return n
		}
	}
}

func (s *sim) timeChanges() []time.Duration {
	var out []time.Duration
	for i := range scalingRepeats {
		revision := uint64(1000 + i)
		o := testObject("a0", 1, revision, i%2 == 0)
		reader := s.randomRunning(RoleEntry)
		reader.core.Merge(s.now, nil, []config.Object{o})
		s.collect(reader)
		out = append(out, s.runUntil(func(n *simNode) bool { return n.core.objects.revision(o.ID()) == revision }))
	}
	return out
}

func (s *sim) timeUpdates() []time.Duration {
	var out []time.Duration
	for range scalingRepeats {
		changed := s.randomRunning(RoleAgent)
		changed.core.Update(s.now, func(r *Record) { r.Slots++ })
		s.collect(changed)
		want := changed.core.self
		out = append(out, s.runUntil(func(n *simNode) bool {
			return n.core.self.Role == RoleAgent || n.core.table.get(want.Addr).Record == want
		}))
	}
	return out
}

// logCostOfChanges logs the bytes and the CPU time that one change costs one
// entry, in addition to the steady state.
func (s *sim) logCostOfChanges(t *testing.T, steady roleCosts) {
	const period = 10 * time.Second
	usual := float64(steady.bytesIn+steady.bytesOut) / float64(steady.count) / scalingSteady.Seconds() * period.Seconds()
	for range scalingUpdates {
		n := s.randomRunning(RoleAgent)
		n.core.Update(s.now, func(r *Record) { r.Slots++ })
		s.collect(n)
	}
	f, _ := s.measure(period)
	records := (float64(f.bytesIn+f.bytesOut)/float64(f.count) - usual) / scalingUpdates
	cpu := float64(f.cpu.Microseconds())/float64(f.count) - float64(steady.cpu.Microseconds())/float64(steady.count)/2
	t.Logf("  each change of a record costs an entry %.0f bytes in and out, %.0f us", records, cpu/scalingUpdates)
	reader := s.randomRunning(RoleEntry)
	for i := range scalingUpdates {
		value := fmt.Sprintf(`{"name":"s%d","pad":%q}`, i, strings.Repeat("x", scalingValueBytes))
		o := config.Object{Kind: config.KindService, Name: "s" + strconv.Itoa(i), Revision: uint64(2000 + i), Value: []byte(value)}
		reader.core.Merge(s.now, nil, []config.Object{o})
		s.collect(reader)
	}
	f, _ = s.measure(period)
	objects := (float64(f.bytesIn+f.bytesOut)/float64(f.count) - usual) / scalingUpdates
	cpu = float64(f.cpu.Microseconds())/float64(f.count) - float64(steady.cpu.Microseconds())/float64(steady.count)/2
	t.Logf("  each change of an object of %d bytes costs an entry %.0f bytes in and out, %.0f us", scalingValueBytes, objects, cpu/scalingUpdates)
}

func (s *sim) timeDeaths(role Role) []string {
	var out []string
	for range scalingRepeats {
		dead := s.randomRunning(role)
		dead.up = false
		a := dead.core.self.Addr
		known := func(least State) func(n *simNode) bool {
			return func(n *simNode) bool {
				return n.core.self.Role == RoleAgent || n.core.table.get(a).State >= least
			}
		}
		avoided := s.runUntil(known(StateSuspect))
		declared := avoided + s.runUntil(known(StateDead))
		out = append(out, fmt.Sprintf("%v %v", avoided, declared))
	}
	return out
}
