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
	designEntries  = 4900
	designAgents   = 26000
	slopeZones     = 5
	slopeGroup     = 7
	slopeWarm      = 15 * time.Second
	slopeSteady    = 20 * time.Second
	slopeRepeats   = 3
	slopeUpdates   = 20
	slopeSeed      = 1
	slopeSizes     = "50,200,800"
	slopeValueSize = 500 // bytes of a service object, about
	slopeWait      = 60 * time.Second
)

// roleFigures are the costs of the processes of one role.
type roleFigures struct {
	count int
	in    int // bytes
	out   int
	cpu   time.Duration
}

func (f roleFigures) perSecond(d time.Duration) string {
	n := float64(f.count) * d.Seconds()
	return fmt.Sprintf("%6.0f B/s in %6.0f B/s out %7.1f us/s cpu", float64(f.in)/n, float64(f.out)/n, float64(f.cpu.Microseconds())/n)
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

// TestSlopes prints the costs and delays of fleets of growing size. It runs
// only with CROCUS_SLOPES set, to 1 or to a list of sizes.
func TestSlopes(t *testing.T) {
	sizes := os.Getenv("CROCUS_SLOPES")
	if sizes == "" {
		t.Skip("CROCUS_SLOPES is not set")
	}
	if sizes == "1" {
		sizes = slopeSizes
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, size := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		measureSlopes(t, n)
	}
}

func measureSlopes(t *testing.T, n int) {
	s := newSim(t, slopeSeed)
	entries := max(3, n*designEntries/(designEntries+designAgents))
	memory := s.fill(entries, n-entries)
	s.run(slopeWarm)
	entry, agent := s.measure(slopeSteady)
	t.Logf("members %d: %d entries, %d agents, services of %d", n, entries, n-entries, slopeGroup)
	t.Logf("  steady entry  %s  heap %d KB", entry.perSecond(slopeSteady), memory[0]>>10)
	t.Logf("  steady agent  %s  heap %d KB", agent.perSecond(slopeSteady), memory[1]>>10)
	t.Logf("  change of configuration in force everywhere %v", s.timeChanges())
	t.Logf("  change of a record at all entries %v", s.timeUpdates())
	s.logCostOfChanges(t, entry)
	t.Logf("  agent silent: avoided by all entries, dead at all %v", s.timeDeaths(RoleAgent))
	t.Logf("  entry silent: avoided by all entries, dead at all %v", s.timeDeaths(RoleEntry))
	s.logRegionCut(t)
	s.logZoneLoss(t)
}

// fill starts a fleet whose members know each other already. It returns the
// heap of one entry and one agent in bytes.
func (s *sim) fill(entries, agents int) [2]uint64 {
	var zones []config.Object
	for z := range slopeZones {
		zones = append(zones, testObject(string(rune('a'+z%2))+strconv.Itoa(z), uint8(z+1), uint64(z+1), false))
	}
	for i := range entries {
		s.add(RoleEntry, 0, uint8(1+i%slopeZones))
	}
	for i := range agents {
		s.add(RoleAgent, uint16(1+i/slopeGroup), uint8(1+i%slopeZones))
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

// measure runs for a while and adds up the costs of each role.
func (s *sim) measure(d time.Duration) (entry, agent roleFigures) {
	for _, n := range s.nodes {
		n.in, n.out, n.cpu = 0, 0, 0
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
		f.in += n.in
		f.out += n.out
		f.cpu += n.cpu
	}
	return entry, agent
}

// until runs until the condition holds for all running processes of the
// roles and returns the time that it took.
func (s *sim) until(holds func(n *simNode) bool) time.Duration {
	began := s.now
	for s.now.Sub(began) < slopeWait {
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

func (s *sim) randomUp(role Role) *simNode {
	for {
		n := s.nodes[s.rand.IntN(len(s.nodes))]
		if n.up && n.core.self.Role == role {
			return n
		}
	}
}

func (s *sim) timeChanges() []time.Duration {
	var out []time.Duration
	for i := range slopeRepeats {
		revision := uint64(1000 + i)
		o := testObject("a0", 1, revision, i%2 == 0)
		reader := s.randomUp(RoleEntry)
		reader.core.Merge(s.now, nil, []config.Object{o})
		s.collect(reader)
		out = append(out, s.until(func(n *simNode) bool { return n.core.objects.revision(o.ID()) == revision }))
	}
	return out
}

func (s *sim) timeUpdates() []time.Duration {
	var out []time.Duration
	for range slopeRepeats {
		changed := s.randomUp(RoleAgent)
		changed.core.Update(s.now, func(r *Record) { r.Slots++ })
		s.collect(changed)
		truth := changed.core.self
		out = append(out, s.until(func(n *simNode) bool {
			return n.core.self.Role == RoleAgent || n.core.table.get(truth.Addr).Record == truth
		}))
	}
	return out
}

// logCostOfChanges prints the bytes that one change costs one entry, above the
// steady state.
func (s *sim) logCostOfChanges(t *testing.T, steady roleFigures) {
	const period = 10 * time.Second
	usual := float64(steady.in+steady.out) / float64(steady.count) / slopeSteady.Seconds() * period.Seconds()
	for range slopeUpdates {
		n := s.randomUp(RoleAgent)
		n.core.Update(s.now, func(r *Record) { r.Slots++ })
		s.collect(n)
	}
	f, _ := s.measure(period)
	records := (float64(f.in+f.out)/float64(f.count) - usual) / slopeUpdates
	cpu := float64(f.cpu.Microseconds())/float64(f.count) - float64(steady.cpu.Microseconds())/float64(steady.count)/2
	t.Logf("  each change of a record costs an entry %.0f bytes in and out, %.0f us", records, cpu/slopeUpdates)
	reader := s.randomUp(RoleEntry)
	for i := range slopeUpdates {
		value := fmt.Sprintf(`{"name":"s%d","pad":%q}`, i, strings.Repeat("x", slopeValueSize))
		o := config.Object{Kind: config.KindService, Name: "s" + strconv.Itoa(i), Revision: uint64(2000 + i), Value: []byte(value)}
		reader.core.Merge(s.now, nil, []config.Object{o})
		s.collect(reader)
	}
	f, _ = s.measure(period)
	objects := (float64(f.in+f.out)/float64(f.count) - usual) / slopeUpdates
	cpu = float64(f.cpu.Microseconds())/float64(f.count) - float64(steady.cpu.Microseconds())/float64(steady.count)/2
	t.Logf("  each change of an object of %d bytes costs an entry %.0f bytes in and out, %.0f us", slopeValueSize, objects, cpu/slopeUpdates)
}

func (s *sim) timeDeaths(role Role) []string {
	var out []string
	for range slopeRepeats {
		dead := s.randomUp(role)
		dead.up = false
		a := dead.core.self.Addr
		known := func(least State) func(n *simNode) bool {
			return func(n *simNode) bool {
				return n.core.self.Role == RoleAgent || n.core.table.get(a).State >= least
			}
		}
		avoided := s.until(known(StateSuspect))
		declared := avoided + s.until(known(StateDead))
		out = append(out, fmt.Sprintf("%v %v", avoided, declared))
	}
	return out
}
