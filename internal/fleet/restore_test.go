package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// restoreBound is the time from the store's return until the whole fleet has what the
// operator writes again.
const restoreBound = 3 * time.Second

func versionedKeys(version uint64, signing uint8, generations ...uint8) config.Keys {
	k := testKeys(signing, generations...)
	k.Version = version
	return k
}

func (b *testBench) names() []string { return slices.Sorted(maps.Keys(b.nodes)) }

// A key generation that was retired is not trusted again when the store is restored from
// a copy that still has it, also by processes that start after the restore, and the next
// rotation comes into force.
func TestRetiredKeyStaysRetiredAcrossRestore(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		b.store.put(b.t, config.KindKeys, config.KeysName, versionedKeys(3, 2, 1, 2))
		time.Sleep(formationTime)
		copied := b.store.copied()
		b.store.put(b.t, config.KindKeys, config.KeysName, versionedKeys(4, 2, 2))
		time.Sleep(formationTime)
		b.store.restore(copied)
		for range 10 {
			time.Sleep(3 * time.Second)
			checkKeysRetired(is, b)
		}
		for _, name := range []string{"e1@pier", "a1@pier", "e2@quay"} {
			b.start(name)
			time.Sleep(formationTime)
			checkKeysRetired(is, b)
		}
		b.store.put(b.t, config.KindKeys, config.KeysName, versionedKeys(4, 2, 2))
		b.store.put(b.t, config.KindKeys, config.KeysName, versionedKeys(5, 2, 2, 3))
		time.Sleep(formationTime)
		checkConverged(is, b)
	})
}

// checkKeysRetired checks that no process accepts generation 1.
func checkKeysRetired(is *is.I, b *testBench) {
	is.Helper()
	for _, name := range b.names() {
		_, ok := b.nodes[name].Config().Keys.MAC(1, 0, nil)
		is.True(!ok)
	}
}

// A zone that was taken out of service stays out while the operator writes it again
// after a restore, and comes back at a revision that is lower than the lost one.
func TestZoneOutAcrossRestore(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		copied := b.store.copied()
		out, back := testZones[1], testZones[1]
		out.Out = true
		for range 5 {
			b.store.put(b.t, config.KindZone, out.Name, back)
		}
		b.store.put(b.t, config.KindZone, out.Name, out)
		time.Sleep(formationTime)
		b.store.restore(copied)
		for range 8 {
			time.Sleep(time.Second)
			checkZoneOut(is, b, out.ID, true)
		}
		b.store.put(b.t, config.KindZone, out.Name, out)
		time.Sleep(20 * time.Second)
		checkZoneOut(is, b, out.ID, true)
		b.store.put(b.t, config.KindZone, out.Name, back)
		time.Sleep(restoreBound)
		checkZoneOut(is, b, out.ID, false)
	})
}

func checkZoneOut(is *is.I, b *testBench, id uint8, want bool) {
	is.Helper()
	for _, name := range b.names() {
		is.Equal(b.nodes[name].Config().ZoneOut(id), want)
	}
}

// A restore while some processes are cut off, twice within a second, with all entries
// replaced at once or during a rolling restart: what the operator writes again is in
// force everywhere.
func TestRestoreUnderFaults(t *testing.T) {
	for _, other := range allFaults {
		if other.name == "store restored from a copy" {
			continue
		}
		t.Run(other.name, func(t *testing.T) {
			t.Parallel()
			restored := allFaults[slices.IndexFunc(allFaults, func(f fault) bool { return f.name == "store restored from a copy" })]
			runFaults(t, faultDuration, restored, other, restored)
		})
	}
}
