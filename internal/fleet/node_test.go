package fleet

import (
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
)

func startAll(b *bench, names ...string) {
	for _, name := range names {
		b.start(name)
	}
}

var smallFleet = []string{"e1@pier", "e2@quay", "e3@hill", "a1@pier", "a2@quay", "a3@hill", "a4@pier"}

// settle is the virtual time within which a small fleet must agree.
const settle = 12 * time.Second

// view lists what a node sees: addresses with states.
func view(n *running) []string {
	var out []string
	for _, m := range n.Members() {
		out = append(out, m.Addr.Addr().String()+" "+m.State.String()+" zone "+strconv.Itoa(int(m.Zone)))
	}
	slices.Sort(out)
	return out
}

// checkAgreement checks that entries see every other process ready, that
// agents see their peers, and that all have the configuration of the store.
func checkAgreement(is *is.I, b *bench) {
	is.Helper()
	for name, n := range b.nodes {
		seen := map[string]bool{}
		for _, m := range n.Members() {
			seen[m.Addr.String()] = m.State == membership.StateReady && m.Zone != 0
		}
		for other, o := range b.nodes {
			if other == name || name[0] == 'a' && other[0] == 'e' {
				continue
			}
			if !seen[o.Self().Addr.String()] {
				b.t.Errorf("%s does not see %s: %v", name, other, view(n))
			}
		}
		is.Equal(n.Config().Revision, b.store.configRevision())
	}
}

func (s *memStore) configRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := uint64(0)
	for _, o := range s.objects {
		if o.Kind != "roster" {
			highest = max(highest, o.Revision)
		}
	}
	return highest
}

func TestFleetForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		defer b.stop()
		startAll(b, smallFleet...)
		time.Sleep(settle)
		checkAgreement(is, b)
	})
}

func TestOneWayLossKillsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		defer b.stop()
		startAll(b, smallFleet...)
		time.Sleep(settle)
		lost := memberAddr("a1")
		watcher := memberAddr("e1")
		before := b.nodes["a1@pier"].Self().Incarnation
		b.net.Partition(func(from, to netip.AddrPort) bool { return from == lost && to == watcher })
		time.Sleep(time.Minute)
		checkAgreement(is, b)
		is.Equal(b.nodes["a1@pier"].Self().Incarnation, before) // was never declared dead
	})
}

// Each of the two parts has entries of one zone only, so no roster names both.
func TestIslandsOfDifferentZonesMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		defer b.stop()
		end := b.cutWhere(func(x, y netip.AddrPort) bool { return b.inZone("quay", x) != b.inZone("quay", y) })
		startAll(b, "e1@pier", "e3@pier", "e2@quay", "e4@quay")
		time.Sleep(time.Minute)
		end()
		time.Sleep(recovery)
		checkAgreement(is, b)
	})
}

// The instances of the entries in the rosters are gone: nothing answers there.
func TestRostersOfGoneEntriesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		defer b.stop()
		var gone []netip.AddrPort
		for i := range 9 {
			gone = append(gone, memberAddr("e"+itoa(100+i)))
		}
		for i, z := range testZones {
			b.store.put(t, config.KindRoster, z.Name, config.Roster{Entries: gone[3*i : 3*i+3]})
		}
		startAll(b, "e1@pier", "e2@quay")
		time.Sleep(2 * recovery)
		checkAgreement(is, b)
		for i, name := range []string{"pier", "quay"} {
			o := b.store.objects[config.ID{Kind: config.KindRoster, Name: name}]
			is.Equal(decodeRoster(&o), []netip.AddrPort{memberAddr("e" + itoa(1+i))})
		}
	})
}
