package upstream

import (
	"math"
	"sync"
	"time"
)

// Factors on the work of an overloaded upstream.
const (
	collapseFactor = 10 // cold and above its cold limit
	shedFactor     = 2  // more requests than this many times the slots are shed
)

// ColdStart is how an upstream behaves in cold start.
type ColdStart struct {
	InitialShare float64       // share of the slots that it bears at first
	WarmUp       time.Duration // until it bears all slots
}

// Counts are an upstream's requests since its start.
type Counts struct {
	Started                 uint64 // started to run
	Shed                    uint64
	Cancelled               uint64
	Expired                 uint64
	Streams                 uint64
	ColdOverload            uint64 // started above the limit while announced as cold
	UnannouncedColdOverload uint64 // started above the limit while cold without warning
	StartedAfterLeaving     uint64 // started although the upstream had announced that it leaves
	SlotsExceeded           uint64 // started above the slots
}

// capacity models what an upstream bears. It is safe for concurrent use.
type capacity struct {
	slots int
	cold  ColdStart

	mu        sync.Mutex
	running   int
	busyTime  time.Duration // integral of busy slots
	last      time.Time
	coldSince time.Time // zero when warm
	surprise  bool      // cold without having said so
	leaving   bool
	counts    Counts
}

// admit starts a request. It returns the factor on its work, or false when
// the upstream sheds it.
func (c *capacity) admit(now time.Time) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running >= c.slots*shedFactor {
		c.counts.Shed++
		return 0, false
	}
	c.integrate(now)
	c.running++
	c.counts.Started++
	if c.leaving {
		c.counts.StartedAfterLeaving++
	}
	if c.running > c.slots {
		c.counts.SlotsExceeded++
	}
	if c.running > c.limit(now) && c.isCold(now) {
		c.overload(now)
		return collapseFactor, true
	}
	return math.Max(1, float64(c.running)/float64(c.slots)), true
}

func (c *capacity) overload(now time.Time) {
	c.coldSince = now
	if c.surprise {
		c.counts.UnannouncedColdOverload++
		return
	}
	c.counts.ColdOverload++
}

func (c *capacity) release(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.integrate(now)
	c.running--
}

// integrate adds the time since the last change to the busy slots' integral.
func (c *capacity) integrate(now time.Time) {
	if !c.last.IsZero() {
		c.busyTime += now.Sub(c.last) * time.Duration(min(c.running, c.slots))
	}
	c.last = now
}

// limit is the number of requests that the upstream bears now.
func (c *capacity) limit(now time.Time) int {
	if !c.isCold(now) {
		return c.slots
	}
	progress := float64(now.Sub(c.coldSince)) / float64(c.cold.WarmUp)
	share := c.cold.InitialShare + (1-c.cold.InitialShare)*progress
	return max(1, int(share*float64(c.slots)))
}

func (c *capacity) isCold(now time.Time) bool {
	return !c.coldSince.IsZero() && now.Sub(c.coldSince) < c.cold.WarmUp
}

// turnCold starts a cold start; a surprise is one that is not announced.
func (c *capacity) turnCold(now time.Time, surprise bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldSince = now
	c.surprise = surprise
}

func (c *capacity) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// announced is the state that the upstream tells its agent.
func (c *capacity) announced(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leaving:
		return stateLeaving
	case c.isCold(now) && !c.surprise:
		return stateCold
	}
	return stateWarm
}

func (c *capacity) note(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

func (c *capacity) snapshot(now time.Time) (Counts, int, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.integrate(now)
	return c.counts, min(c.running, c.slots), c.busyTime
}
