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

func startAll(b *testBench, names ...string) {
	for _, name := range names {
		b.start(name)
	}
}

var smallFleet = []string{"e1@pier", "e2@quay", "e3@hill", "a1@pier", "a2@quay", "a3@hill", "a4@pier"}

// formationTime is the virtual time within which a small fleet must converge.
const formationTime = 12 * time.Second

// memberView lists the members that a node knows, with their states and zones.
func memberView(n *runningNode) []string {
	var out []string
	for _, m := range n.Members() {
		out = append(out, m.Addr.Addr().String()+" "+m.State.String()+" zone "+strconv.Itoa(int(m.Zone)))
	}
	slices.Sort(out)
	return out
}

// checkConverged checks that entries know every other process as ready, that agents
// know all other agents as ready, and that all have the configuration of the store.
func checkConverged(is *is.I, b *testBench) {
	is.Helper()
	for name, n := range b.nodes {
		ready := map[string]bool{}
		for _, m := range n.Members() {
			ready[m.Addr.String()] = m.State == membership.StateReady && m.Zone != 0
		}
		for other, o := range b.nodes {
			if other == name || name[0] == 'a' && other[0] == 'e' {
				continue
			}
			if !ready[o.Self().Addr.String()] {
				b.t.Errorf("%s does not know %s as ready: %v", name, other, memberView(n))
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
		b := newTestBench(t)
		defer b.stop()
		startAll(b, smallFleet...)
		time.Sleep(formationTime)
		checkConverged(is, b)
	})
}

func TestOneWayLossDeclaresNoMemberDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t)
		defer b.stop()
		startAll(b, smallFleet...)
		time.Sleep(formationTime)
		sender := memberAddr("a1")
		receiver := memberAddr("e1")
		before := b.nodes["a1@pier"].Self().Incarnation
		b.net.Partition(func(from, to netip.AddrPort) bool { return from == sender && to == receiver })
		time.Sleep(time.Minute)
		checkConverged(is, b)
		is.Equal(b.nodes["a1@pier"].Self().Incarnation, before) // never declared dead
	})
}

// Each of the two partitions has entries of one zone only, so no roster contains
// entries of both.
func TestPartitionedZonesMergeAfterHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t)
		defer b.stop()
		end := b.cutWhere(func(x, y netip.AddrPort) bool { return b.inZone("quay", x) != b.inZone("quay", y) })
		startAll(b, "e1@pier", "e3@pier", "e2@quay", "e4@quay")
		time.Sleep(time.Minute)
		end()
		time.Sleep(recoveryTime)
		checkConverged(is, b)
	})
}

// The instances of the entries in the rosters no longer exist: their addresses do
// not reply.
func TestRostersOfDepartedEntriesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t)
		defer b.stop()
		var departed []netip.AddrPort
		for i := range 9 {
			departed = append(departed, memberAddr("e"+itoa(100+i)))
		}
		for i, z := range testZones {
			b.store.put(t, config.KindRoster, z.Name, config.Roster{Entries: departed[3*i : 3*i+3]})
		}
		startAll(b, "e1@pier", "e2@quay")
		time.Sleep(2 * recoveryTime)
		checkConverged(is, b)
		for i, name := range []string{"pier", "quay"} {
			o := b.store.objects[config.ID{Kind: config.KindRoster, Name: name}]
			is.Equal(decodeRoster(&o), []netip.AddrPort{memberAddr("e" + itoa(1+i))})
		}
	})
}
