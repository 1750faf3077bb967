package admission

import (
	"math"
	"time"
)

// utilizationTimeConstant is the time constant of the moving average.
const utilizationTimeConstant = 2 * time.Second

// utilization is the mean share of slots in use, weighted by age.
type utilization struct {
	mean      float64
	updatedAt time.Time
}

// advance adds the time since the last update, during which busy requests were
// running or waiting.
func (u *utilization) advance(now time.Time, busy, slots int) {
	share := float64(busy) / float64(max(1, slots))
	if u.updatedAt.IsZero() {
		u.mean = share
	}
	elapsed := now.Sub(u.updatedAt)
	if elapsed <= 0 {
		return
	}
	u.updatedAt = now
	u.mean += (share - u.mean) * -math.Expm1(-float64(elapsed)/float64(utilizationTimeConstant))
}
