package upstream

import (
	"math"
	"sync"
	"time"
)

// Behavior of an overloaded upstream.
const (
	coldOverloadFactor = 10 // on the work of requests above the limit of a cold start
	shedFactor         = 2  // times the slots: requests above this many are shed
)

// ColdStart describes an upstream's cold start: the number of usable slots
// grows linearly from InitialShare to all slots over WarmUp.
type ColdStart struct {
	InitialShare float64 // of the slots
	WarmUp       time.Duration
}

// Counts holds the number of an upstream's requests since its start.
type Counts struct {
	Started                 uint64
	Shed                    uint64
	Cancelled               uint64
	Expired                 uint64
	Streams                 uint64
	ColdOverload            uint64 // started above the limit of an announced cold start
	UnannouncedColdOverload uint64 // started above the limit of an unannounced cold start
	StartedAfterLeaving     uint64 // started after the upstream announced that it is leaving
	SlotsExceeded           uint64 // started with all slots busy
}

// capacity models an upstream's slots, cold starts and overload. It is safe for
// concurrent use.
type capacity struct {
	slots int
	cold  ColdStart

	mu          sync.Mutex
	running     int
	busyTime    time.Duration // integral of busy slots over time
	lastChange  time.Time
	coldSince   time.Time // zero when warm
	unannounced bool      // the cold start is not announced
	leaving     bool
	counts      Counts
}

// admit starts a request. It returns the factor by which load prolongs the
// request's work, or false when the upstream sheds the request.
func (c *capacity) admit(now time.Time) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running >= c.slots*shedFactor {
		c.counts.Shed++
		return 0, false
	}
	c.addBusyTime(now)
	c.running++
	c.counts.Started++
	if c.leaving {
		c.counts.StartedAfterLeaving++
	}
	if c.running > c.slots {
		c.counts.SlotsExceeded++
	}
	if c.running > c.limit(now) && c.inColdStart(now) {
		c.recordColdOverload(now)
		return coldOverloadFactor, true
	}
	return math.Max(1, float64(c.running)/float64(c.slots)), true
}

// recordColdOverload counts a request above the cold start's limit and starts
// the warm-up over.
func (c *capacity) recordColdOverload(now time.Time) {
	c.coldSince = now
	if c.unannounced {
		c.counts.UnannouncedColdOverload++
		return
	}
	c.counts.ColdOverload++
}

func (c *capacity) release(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBusyTime(now)
	c.running--
}

// addBusyTime adds the time since the last change to the busy slots' integral.
func (c *capacity) addBusyTime(now time.Time) {
	if !c.lastChange.IsZero() {
		c.busyTime += now.Sub(c.lastChange) * time.Duration(min(c.running, c.slots))
	}
	c.lastChange = now
}

// limit returns the number of requests that the upstream can run at once without
// overload.
func (c *capacity) limit(now time.Time) int {
	if !c.inColdStart(now) {
		return c.slots
	}
	progress := float64(now.Sub(c.coldSince)) / float64(c.cold.WarmUp)
	share := c.cold.InitialShare + (1-c.cold.InitialShare)*progress
	return max(1, int(share*float64(c.slots)))
}

func (c *capacity) inColdStart(now time.Time) bool {
	return !c.coldSince.IsZero() && now.Sub(c.coldSince) < c.cold.WarmUp
}

func (c *capacity) beginColdStart(now time.Time, unannounced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldSince = now
	c.unannounced = unannounced
}

func (c *capacity) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// announcedState returns the state that the upstream announces to its agent.
func (c *capacity) announcedState(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leaving:
		return stateLeaving
	case c.inColdStart(now) && !c.unannounced:
		return stateCold
	}
	return stateWarm
}

func (c *capacity) updateCounts(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// snapshot returns the counts, the busy slots and their integral over time.
func (c *capacity) snapshot(now time.Time) (Counts, int, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBusyTime(now)
	return c.counts, min(c.running, c.slots), c.busyTime
}
