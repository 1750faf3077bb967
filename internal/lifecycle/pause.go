package lifecycle

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// PauseThreshold is the time without a beat above which a process counts as having been
// paused: what it believes may have changed meanwhile. Beats come every few tens of
// milliseconds, and bounds on configuration are seconds.
const PauseThreshold = time.Second

// PauseDetector detects that the process did not run for a while, because it was stopped
// by a signal or its instance was suspended. It reads a clock that goes on in both
// cases: the monotonic clock of package time stands still while an instance is suspended.
// Its methods are safe for concurrent use.
type PauseDetector struct {
	now  func() time.Duration
	last atomic.Int64 // time of the last beat
}

// NewPauseDetector returns a detector whose first beat is now.
func NewPauseDetector() *PauseDetector { return NewPauseDetectorWithClock(sinceBoot) }

// NewPauseDetectorWithClock is like NewPauseDetector with another clock.
func NewPauseDetectorWithClock(now func() time.Duration) *PauseDetector {
	d := &PauseDetector{now: now}
	d.last.Store(int64(now()))
	return d
}

// Beat must be called regularly, by one goroutine. If the process was paused since the
// last beat, it calls apply with the time since then. Paused reports true until apply has
// returned, so that nobody acts meanwhile on what apply revokes.
func (d *PauseDetector) Beat(apply func(gap time.Duration)) {
	now := int64(d.now())
	if gap := time.Duration(now - d.last.Load()); gap >= PauseThreshold {
		apply(gap)
	}
	d.last.Store(now) // as read before apply, which a further pause may have interrupted
}

// Paused reports whether the process was paused since the last beat, and no beat has
// applied the consequences yet.
func (d *PauseDetector) Paused() bool {
	return int64(d.now())-d.last.Load() >= int64(PauseThreshold)
}

// sinceBoot returns the time since the instance was started, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(t.Nano())
}
