package admission

import (
	"math"
	"time"
)

// ceilingIntervals is the number of healthy intervals just below the number of
// requests that overloaded the upstream before that number is tried again.
const ceilingIntervals = 10

// ramp is the cold-start limit: it starts at Settings.FreshShare and rises by
// one step after each healthy interval with enough successes.
type ramp struct {
	settings           Settings
	step               int // 0 to FreshSteps
	intervalStart      time.Time
	successes          int  // in this interval
	unhealthy          bool // in this interval
	ceiling            int  // number of requests that overloaded the upstream, 0 if unknown
	intervalsAtCeiling int  // healthy intervals just below the ceiling
}

// reset returns to the first step.
func (r *ramp) reset(now time.Time) {
	r.step = 0
	r.intervalsAtCeiling = 0
	r.beginInterval(now)
}

func (r *ramp) beginInterval(now time.Time) {
	r.intervalStart = now
	r.successes = 0
	r.unhealthy = false
}

// limit returns how many of the slots may be in use.
func (r *ramp) limit(slots int) int {
	limit := r.limitAt(r.step, slots)
	if r.ceiling > 0 {
		limit = min(limit, r.ceiling-1)
	}
	return max(1, limit)
}

func (r *ramp) limitAt(step, slots int) int {
	if step >= r.settings.FreshSteps {
		return slots
	}
	share := r.settings.FreshShare
	share += (1 - share) * float64(step) / float64(r.settings.FreshSteps)
	// The tolerance keeps shares such as 0.6 of 5 from losing a slot to
	// rounding.
	return max(1, int(math.Floor(float64(slots)*share+1e-9)))
}

// isComplete reports whether all slots may be in use.
func (r *ramp) isComplete() bool { return r.step >= r.settings.FreshSteps && r.ceiling == 0 }

// intervalEnd returns when the current interval ends.
func (r *ramp) intervalEnd() time.Time { return r.intervalStart.Add(r.settings.FreshInterval) }

// advance starts the next interval if the current one is over. The limit rises
// only after as many successes as the limit, so that it does not rise while the
// upstream is idle.
func (r *ramp) advance(now time.Time, slots int) {
	if r.isComplete() || now.Before(r.intervalEnd()) {
		return
	}
	healthy := !r.unhealthy && r.successes >= r.limit(slots)
	r.beginInterval(now)
	if healthy {
		r.raiseLimit(slots)
	}
}

func (r *ramp) raiseLimit(slots int) {
	if r.step < r.settings.FreshSteps {
		r.step++
	}
	if r.ceiling == 0 || r.limitAt(r.step, slots) < r.ceiling {
		return
	}
	r.intervalsAtCeiling++
	if r.intervalsAtCeiling >= ceilingIntervals {
		r.ceiling++
		r.intervalsAtCeiling = 0
	}
	if r.ceiling > slots {
		r.ceiling = 0
	}
}
