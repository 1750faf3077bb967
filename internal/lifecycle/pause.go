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

// Beat must be called regularly. It returns the time since the last beat if the process
// was paused, and 0 otherwise.
func (d *PauseDetector) Beat() time.Duration {
	now := int64(d.now())
	gap := time.Duration(now - d.last.Swap(now))
	if gap < PauseThreshold {
		return 0
	}
	return gap
}

// Paused reports whether the process was paused since the last beat, so that the beat
// that will notice it has not come yet.
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
