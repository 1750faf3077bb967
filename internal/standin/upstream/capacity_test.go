package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestColdLimitGrowsAndOverloadSlowsRequests(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	c := &capacity{slots: 10, cold: ColdStart{InitialShare: 0.2, WarmUp: 10 * time.Second}}
	c.beginColdStart(start, false)
	is.Equal(c.announcedState(at(1)), stateCold)

	for range 2 {
		factor, ok := c.admit(start)
		is.True(ok)
		is.Equal(factor, 1.0)
	}
	factor, _ := c.admit(start)
	is.Equal(factor, float64(coldOverloadFactor)) // the third request is above 20% of 10 slots
	is.Equal(c.counts.ColdOverload, uint64(1))
	c.release(at(1))

	is.Equal(c.limit(at(5)), 6) // half of the warm-up
	is.Equal(c.limit(at(10)), 10)
	is.Equal(c.announcedState(at(10)), stateWarm)

	c.beginColdStart(at(20), true)
	is.Equal(c.announcedState(at(20)), stateWarm) // unannounced
	_, _ = c.admit(at(20))
	is.Equal(c.counts.UnannouncedColdOverload, uint64(1))
	is.Equal(c.counts.ColdOverload, uint64(1))
}

func TestShedAndBusyTime(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	c := &capacity{slots: 2}
	for range 2 * shedFactor {
		_, ok := c.admit(start)
		is.True(ok)
	}
	_, ok := c.admit(start)
	is.True(!ok)
	is.Equal(c.counts.Shed, uint64(1))
	is.Equal(c.counts.SlotsExceeded, uint64(2))
	_, busy, integral := c.snapshot(start.Add(time.Second))
	is.Equal(busy, 2) // requests above the slots occupy none
	is.Equal(integral, 2*time.Second)
}

func TestRunsCountsDuplicates(t *testing.T) {
	is := is.New(t)
	r := NewRuns()
	r.Start("a", 2, false)
	is.True(!r.Ran("a", 1))
	is.True(r.Ran("a", 2))
	is.Equal(r.Duplicates(), uint64(0))
	r.Start("a", 3, false)
	is.Equal(r.Duplicates(), uint64(1))
	r.Start("b", 1, true)
	r.Start("b", 1, true)
	is.Equal(r.Duplicates(), uint64(1))
	is.Equal(r.Requests(), 2)
}
