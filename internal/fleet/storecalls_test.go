package fleet

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// storeCalls returns the number of calls to the store in the first minute after all
// processes have started at once, and in the period after that.
func storeCalls(t *testing.T, entries int, period time.Duration) (first, calls int) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t)
		defer b.stop()
		for i := range entries {
			b.start("e" + strconv.Itoa(1+i) + "@" + testZones[i%len(testZones)].Name)
			b.start("a" + strconv.Itoa(1+i) + "@" + testZones[i%len(testZones)].Name)
		}
		time.Sleep(time.Minute)
		first = b.store.count()
		time.Sleep(period)
		calls = b.store.count() - first
	})
	return first, calls
}

func (s *memStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// storeCallsPerMinute is the number of calls that the watchers of two regions and
// the rosters of three zones make a minute, whatever the number of processes.
const storeCallsPerMinute = 2*watchersPerRegion*60/20 + 3*2*60/15

func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, entries := range []int{3, 12, 36} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			t.Parallel()
			first, calls := storeCalls(t, entries, time.Minute)
			t.Logf("%d entries and as many agents: %d calls in the first minute, %d in the next", entries, first, calls)
			is.New(t).True(calls <= storeCallsPerMinute)
		})
	}
}
