package fleet

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// callsIn returns the calls to the store that a formed fleet makes in a period.
func callsIn(t *testing.T, entries int, period time.Duration) (calls int) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.stop()
		for i := range entries {
			b.start("e" + strconv.Itoa(1+i) + "@" + testZones[i%len(testZones)].Name)
			b.start("a" + strconv.Itoa(1+i) + "@" + testZones[i%len(testZones)].Name)
		}
		time.Sleep(time.Minute)
		before := b.store.count()
		time.Sleep(period)
		calls = b.store.count() - before
	})
	return calls
}

func (s *memStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// The watchers and the rosters of three zones in two regions need this many
// calls a minute, whatever the number of processes.
const storeCallsPerMinute = 2*watchersPerRegion*60/20 + 3*2*60/15

func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, entries := range []int{3, 12, 36} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			t.Parallel()
			calls := callsIn(t, entries, time.Minute)
			t.Logf("%d entries and as many agents: %d calls in a minute", entries, calls)
			is.New(t).True(calls <= storeCallsPerMinute)
		})
	}
}
