package flow

import (
	"maps"
	"time"
)

const (
	// maxQueuedAtUpstream bounds the requests beyond its slots that an upstream with few
	// slots gets: it queues a few and sheds the others. With the expected wait as the only
	// limit, an upstream that queues 4 shed 13 of 68 urgent requests at twice its load
	// (TestReturnAtTwiceTheLoad), and none with 3 or 4 here.
	maxQueuedAtUpstream = 3
	// reservationTTL is how long an admitted opening counts as a busy request. The
	// caller's request follows within one round trip.
	reservationTTL = 250 * time.Millisecond
	// lowShareNumerator and lowShareDenominator are the share of the limit on waiting
	// requests that is open to the classes of low priority, so that a burst of one of
	// them leaves capacity to the urgent classes.
	lowShareNumerator   = 3
	lowShareDenominator = 4
	// urgentPriority is the lowest priority, as a number, whose class may use the whole
	// limit.
	urgentPriority = 1
	// unstatedPriority is the priority of openings without a class, below all stated.
	unstatedPriority = 255
)

// Reservations are the admitted openings whose caller has not sent a request yet. They
// count as busy requests, because many openings may arrive within one round trip.
type Reservations struct{ since map[Key]time.Time }

// Add records an admitted opening.
func (r *Reservations) Add(now time.Time, k Key) {
	if r.since == nil {
		r.since = map[Key]time.Time{}
	}
	r.since[k] = now
}

// Remove ends the reservation of a flow, if it has one: its request has arrived, or the
// flow has ended.
func (r *Reservations) Remove(k Key) { delete(r.since, k) }

// Count returns the number of reservations that have not expired.
func (r *Reservations) Count(now time.Time) int {
	maps.DeleteFunc(r.since, func(_ Key, at time.Time) bool { return now.Sub(at) >= reservationTTL })
	return len(r.since)
}

// Room is the free capacity of an upstream with few slots.
type Room struct {
	Busy        int // unanswered requests and reservations
	Slots       int // above 0
	ServiceTime time.Duration
}

// Limit returns the number of busy requests, including the opening's own, up to which an
// opening of the class is admitted: the request is expected to wait for no longer than
// half of its target, and at most maxQueuedAtUpstream requests wait at the upstream. A class
// of low priority gets three quarters of the waiting requests, or all if the place is
// guaranteed to it.
func (r Room) Limit(c Class, guaranteed bool) int {
	waiting := maxWaitingRequests
	if c.TargetMillis > 0 {
		waiting = int(c.Target() / 2 * time.Duration(r.Slots) / max(r.ServiceTime, minServiceTime))
	}
	waiting = min(waiting, maxQueuedAtUpstream)
	if c.Stated && c.Priority > urgentPriority && !guaranteed {
		waiting = waiting * lowShareNumerator / lowShareDenominator
	}
	return r.Slots + waiting
}

// Allows reports whether an opening of the class is within its limit.
func (r Room) Allows(c Class, guaranteed bool) bool { return r.Busy < r.Limit(c, guaranteed) }

// rank orders classes by priority, the most urgent first.
func (c Class) rank() int {
	if !c.Stated {
		return unstatedPriority
	}
	return int(c.Priority)
}
