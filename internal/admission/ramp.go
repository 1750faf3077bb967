package admission

import (
	"math"
	"time"
)

// ceilingIntervals is the number of healthy intervals below a load that the
// upstream did not bear before that load is tried again.
const ceilingIntervals = 10

// ramp is the cold-start limit: it starts at the target's share and rises one
// step for each healthy interval that proves the present step.
type ramp struct {
	settings  Settings
	step      int // 0 to FreshSteps
	started   time.Time
	successes int  // in this interval
	unhealthy bool // in this interval
	ceiling   int  // load that was not borne, 0 when none is known
	held      int  // healthy intervals spent just below the ceiling
}

// reset goes back to the first step.
func (r *ramp) reset(now time.Time) {
	r.step = 0
	r.held = 0
	r.begin(now)
}

func (r *ramp) begin(now time.Time) {
	r.started = now
	r.successes = 0
	r.unhealthy = false
}

// limit returns how many of the slots may be used.
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

// full reports whether no limit below the slots is left.
func (r *ramp) full() bool { return r.step >= r.settings.FreshSteps && r.ceiling == 0 }

// end returns when the present interval ends.
func (r *ramp) end() time.Time { return r.started.Add(r.settings.FreshInterval) }

// advance ends the interval when its time is over. A step needs as many
// successes as the limit, so that an idle upstream proves nothing.
func (r *ramp) advance(now time.Time, slots int) {
	if r.full() || now.Before(r.end()) {
		return
	}
	proven := !r.unhealthy && r.successes >= r.limit(slots)
	r.begin(now)
	if proven {
		r.raise(slots)
	}
}

func (r *ramp) raise(slots int) {
	if r.step < r.settings.FreshSteps {
		r.step++
	}
	if r.ceiling == 0 || r.limitAt(r.step, slots) < r.ceiling {
		return
	}
	r.held++
	if r.held >= ceilingIntervals {
		r.ceiling++
		r.held = 0
	}
	if r.ceiling > slots {
		r.ceiling = 0
	}
}
