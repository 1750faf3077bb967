package fleet

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// fault starts a failure and returns what ends it.
type fault struct {
	name  string
	begin func(b *bench) (end func())
}

func nothing() {}

// faultTable are the failures that the fleet must get over. Each uses other
// processes than those next to it in the table where possible.
var faultTable = []fault{
	{"agent replaced at its address", func(b *bench) func() {
		b.kill("a2@quay")
		return func() { b.start("a2@quay") }
	}},
	{"entry replaced at another address", func(b *bench) func() {
		b.kill("e2@quay")
		return func() { b.start("e9@quay") }
	}},
	{"all entries replaced at once", func(b *bench) func() {
		for name := range b.nodes {
			if name[0] == 'e' {
				b.kill(name)
			}
		}
		startAll(b, "e4@pier", "e5@quay", "e6@hill")
		return nothing
	}},
	{"store down", func(b *bench) func() {
		b.store.setDown(true)
		return func() { b.store.setDown(false) }
	}},
	{"restart while the store is down", func(b *bench) func() {
		b.store.setDown(true)
		b.kill("a4@pier")
		b.start("a4@pier")
		return func() { b.store.setDown(false) }
	}},
	{"zone cut", func(b *bench) func() {
		return b.cutWhere(func(a, c netip.AddrPort) bool { return b.inZone("pier", a) != b.inZone("pier", c) })
	}},
	{"region cut", func(b *bench) func() {
		return b.cutWhere(func(a, c netip.AddrPort) bool { return b.inZone("hill", a) != b.inZone("hill", c) })
	}},
	{"one-way loss", func(b *bench) func() {
		return b.cutWhere(func(from, _ netip.AddrPort) bool { return from == memberAddr("a3") })
	}},
	{"entry paused", func(b *bench) func() { return b.pause("e1@pier") }},
	{"agent paused", func(b *bench) func() { return b.pause("a1@pier") }},
	{"configuration changed", func(b *bench) func() {
		out := testZones[2]
		out.Out = !b.zoneOut("hill")
		b.store.put(b.t, config.KindZone, "hill", out)
		return nothing
	}},
}

func (b *bench) cutWhere(blocked func(from, to netip.AddrPort) bool) func() {
	b.net.Partition(blocked)
	return func() { b.net.Partition(nil) }
}

// inZone tells the zone of an address; the network is locked by its caller.
func (b *bench) inZone(zone string, a netip.AddrPort) bool { return b.net.inZone(a, zone) }

const pauseLength = 20 * time.Second

// pause blocks a node's loop, as a stopped process would be.
func (b *bench) pause(name string) func() {
	if n := b.nodes[name]; n != nil {
		n.command(func(time.Time) { time.Sleep(pauseLength) })
	}
	return nothing
}

func (b *bench) zoneOut(zone string) bool {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	o := b.store.objects[config.ID{Kind: config.KindZone, Name: zone}]
	z := config.Zone{}
	return config.Decode(o.Value, &z) == nil && z.Out
}

// recovery is the virtual time from the end of the faults to agreement.
const recovery = 90 * time.Second

func runFaults(t *testing.T, length time.Duration, faults ...fault) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		defer b.stop()
		startAll(b, smallFleet...)
		time.Sleep(settle)
		var ends []func()
		for _, f := range faults {
			ends = append(ends, f.begin(b))
			time.Sleep(time.Second)
		}
		time.Sleep(length)
		for _, end := range ends {
			end()
		}
		time.Sleep(recovery)
		checkAgreement(is, b)
	})
}

const faultLength = 30 * time.Second

func TestEachFaultAlone(t *testing.T) {
	for _, f := range faultTable {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, faultLength, f)
		})
	}
}

func TestFaultsTogether(t *testing.T) {
	for i, f := range faultTable {
		for _, g := range faultTable[i+1:] {
			t.Run(f.name+" and "+g.name, func(t *testing.T) {
				t.Parallel()
				runFaults(t, faultLength, f, g)
			})
		}
	}
}

func TestEachFaultTwice(t *testing.T) {
	for _, f := range faultTable {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				defer b.stop()
				startAll(b, smallFleet...)
				time.Sleep(settle)
				for range 2 {
					end := f.begin(b)
					time.Sleep(faultLength)
					end()
					time.Sleep(recovery)
				}
				checkAgreement(is, b)
			})
		})
	}
}

func TestRegionsApartForAnHour(t *testing.T) {
	t.Parallel()
	cut := faultTable[6]
	runFaults(t, time.Hour, cut)
}
