package fleet

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// fault is a failure. begin starts it and returns the function that ends it.
type fault struct {
	name  string
	begin func(b *testBench) (end func())
}

func noop() {}

// allFaults are the failures that the fleet must recover from. Where possible,
// neighbours in the list affect different processes.
var allFaults = []fault{
	{"agent replaced at its address", func(b *testBench) func() {
		b.kill("a2@quay")
		return func() { b.start("a2@quay") }
	}},
	{"entry replaced at another address", func(b *testBench) func() {
		b.kill("e2@quay")
		return func() { b.start("e9@quay") }
	}},
	{"all entries replaced at once", func(b *testBench) func() {
		for name := range b.nodes {
			if name[0] == 'e' {
				b.kill(name)
			}
		}
		startAll(b, "e4@pier", "e5@quay", "e6@hill")
		return noop
	}},
	{"store down", func(b *testBench) func() {
		b.store.setDown(true)
		return func() { b.store.setDown(false) }
	}},
	{"restart while the store is down", func(b *testBench) func() {
		b.store.setDown(true)
		b.kill("a4@pier")
		b.start("a4@pier")
		return func() { b.store.setDown(false) }
	}},
	{"zone cut", func(b *testBench) func() {
		return b.cutWhere(func(a, c netip.AddrPort) bool { return b.inZone("pier", a) != b.inZone("pier", c) })
	}},
	{"region cut", func(b *testBench) func() {
		return b.cutWhere(func(a, c netip.AddrPort) bool { return b.inZone("hill", a) != b.inZone("hill", c) })
	}},
	{"one-way loss", func(b *testBench) func() {
		return b.cutWhere(func(from, _ netip.AddrPort) bool { return from == memberAddr("a3") })
	}},
	{"entry paused", func(b *testBench) func() { return b.pause("e1@pier") }},
	{"agent paused", func(b *testBench) func() { return b.pause("a1@pier") }},
	{"store restored from a copy", func(b *testBench) func() {
		copied := b.store.copied()
		for range 5 { // the operator writes again with fewer calls
			b.store.put(b.t, config.KindService, "bells", testService("bells", 7, "127.22.0.1:443"))
		}
		written := testService("bells", 7, "127.22.0.2:443")
		b.store.put(b.t, config.KindService, "bells", written)
		time.Sleep(2 * time.Second)
		b.store.restore(copied)
		return func() { b.store.put(b.t, config.KindService, "bells", written) }
	}},
	{"configuration changed", func(b *testBench) func() {
		out := testZones[2]
		out.Out = !b.zoneOut("hill")
		b.store.put(b.t, config.KindZone, "hill", out)
		return noop
	}},
}

func (b *testBench) cutWhere(blocked func(from, to netip.AddrPort) bool) func() {
	b.net.Partition(blocked)
	return func() { b.net.Partition(nil) }
}

// inZone reports whether an address is in the zone. It may be called with the
// network's lock held.
func (b *testBench) inZone(zone string, a netip.AddrPort) bool { return b.net.inZone(a, zone) }

const pauseDuration = 20 * time.Second

// pause blocks a node's loop for pauseDuration, like a suspended process.
func (b *testBench) pause(name string) func() {
	if n := b.nodes[name]; n != nil {
		n.enqueue(func(time.Time) { time.Sleep(pauseDuration) })
	}
	return noop
}

func (b *testBench) zoneOut(zone string) bool {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	o := b.store.objects[config.ID{Kind: config.KindZone, Name: zone}]
	z := config.Zone{}
	return config.Decode(o.Value, &z) == nil && z.Out
}

// recoveryTime is the virtual time after the end of the faults within which the
// fleet must converge.
const recoveryTime = 90 * time.Second

// runFaults starts the faults one second apart, ends them after length and checks
// that the fleet converges.
func runFaults(t *testing.T, length time.Duration, faults ...fault) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t)
		defer b.stop()
		startAll(b, smallFleet...)
		time.Sleep(formationTime)
		var ends []func()
		for _, f := range faults {
			ends = append(ends, f.begin(b))
			time.Sleep(time.Second)
		}
		time.Sleep(length)
		for _, end := range ends {
			end()
		}
		time.Sleep(recoveryTime)
		checkConverged(is, b)
	})
}

const faultDuration = 30 * time.Second

func TestEachFaultAlone(t *testing.T) {
	for _, f := range allFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, faultDuration, f)
		})
	}
}

func TestFaultsTogether(t *testing.T) {
	for i, f := range allFaults {
		for _, g := range allFaults[i+1:] {
			t.Run(f.name+" and "+g.name, func(t *testing.T) {
				t.Parallel()
				runFaults(t, faultDuration, f, g)
			})
		}
	}
}

func TestEachFaultTwice(t *testing.T) {
	for _, f := range allFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBench(t)
				defer b.stop()
				startAll(b, smallFleet...)
				time.Sleep(formationTime)
				for range 2 {
					end := f.begin(b)
					time.Sleep(faultDuration)
					end()
					time.Sleep(recoveryTime)
				}
				checkConverged(is, b)
			})
		})
	}
}

func TestRegionPartitionOfOneHour(t *testing.T) {
	t.Parallel()
	cut := allFaults[6]
	runFaults(t, time.Hour, cut)
}
