package admission

import (
	"math"
	"time"
)

// usageSpan is the time constant of the mean share of slots in use.
const usageSpan = 2 * time.Second

// usage is the mean share of slots in use, weighted by age.
type usage struct {
	mean float64
	at   time.Time
}

// advance adds the time since the last change, in which busy slots were in
// use.
func (u *usage) advance(now time.Time, busy, slots int) {
	share := float64(busy) / float64(max(1, slots))
	if u.at.IsZero() {
		u.mean = share
	}
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	u.at = now
	u.mean += (share - u.mean) * -math.Expm1(-float64(elapsed)/float64(usageSpan))
}
