package flow

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaitingOpenings bounds the openings that wait at an agent: an upstream with two
	// slots and 22 ms a request serves 14 in maxOpeningWait.
	maxWaitingOpenings = 16
	// maxOpeningWait is how long an opening waits until it is refused, so that the
	// caller's next copy, after 0.2 s, finds another agent.
	maxOpeningWait = 150 * time.Millisecond
	// guaranteedEvery is the number of places of which at least one goes to the lowest
	// priority that waits, so that it is not starved by the others.
	guaranteedEvery = 4
)

// WaitingOpening is an opening that no agent admitted at once and that waits for free
// capacity of this agent's upstream.
type WaitingOpening struct {
	Key    Key
	Meta   Metadata
	Entry  Endpoint // entry that sent the last copy
	Packet []byte
	Copies uint32 // copies of the opening packet that the caller had sent before this one
	Since  time.Time
	// UpstreamStart and Cold are the start of the upstream that it waits for, in Unix
	// milliseconds, and whether that was in cold start.
	UpstreamStart int64
	Cold          bool
}

// WaitingOpenings are the openings that wait for free capacity, ordered by priority, then
// the newest first, since an old one is the closest to being late. A later copy of an
// opening is older than an earlier copy of another one.
type WaitingOpenings struct {
	openings []WaitingOpening
	passed   int // places given to higher priorities since the lowest waiting one last got one
}

// Len returns the number of waiting openings.
func (w *WaitingOpenings) Len() int { return len(w.openings) }

// Update replaces the packet and the entry of a waiting opening by those of a copy. ok is
// false if the flow has no waiting opening.
func (w *WaitingOpenings) Update(k Key, entry Endpoint, packet []byte) (ok bool) {
	i := w.index(k)
	if i >= 0 {
		w.openings[i].Entry, w.openings[i].Packet = entry, packet
	}
	return i >= 0
}

// Add inserts an opening. If too many wait then, the last in order is removed and
// returned, which may be the new one.
func (w *WaitingOpenings) Add(o WaitingOpening) (refused WaitingOpening, full bool) {
	i := slices.IndexFunc(w.openings, func(x WaitingOpening) bool {
		return cmp.Or(cmp.Compare(x.Meta.Class.rank(), o.Meta.Class.rank()), cmp.Compare(x.Copies, o.Copies)) >= 0
	})
	if i < 0 {
		i = len(w.openings)
	}
	w.openings = slices.Insert(w.openings, i, o)
	if len(w.openings) <= maxWaitingOpenings {
		return WaitingOpening{}, false
	}
	return w.take(len(w.openings) - 1), true
}

// Remove removes the opening of a flow, if it has one.
func (w *WaitingOpenings) Remove(k Key) (o WaitingOpening, ok bool) {
	i := w.index(k)
	if i < 0 {
		return WaitingOpening{}, false
	}
	return w.take(i), true
}

// RefusedOpening is a waiting opening that is refused, and why.
type RefusedOpening struct {
	WaitingOpening
	Reason Refusal
}

// Refuse removes the openings for which reason returns another one than RefusalNone, and
// returns them in order.
func (w *WaitingOpenings) Refuse(reason func(*WaitingOpening) Refusal) []RefusedOpening {
	var refused []RefusedOpening
	w.openings = slices.DeleteFunc(w.openings, func(o WaitingOpening) bool {
		r := reason(&o)
		if r != RefusalNone {
			refused = append(refused, RefusedOpening{WaitingOpening: o, Reason: r})
		}
		return r != RefusalNone
	})
	return refused
}

// Expired reports whether the opening has waited for too long.
func (o *WaitingOpening) Expired(now time.Time) bool { return now.Sub(o.Since) >= maxOpeningWait }

// Precedes reports whether an opening of a higher priority than the class's waits.
func (w *WaitingOpenings) Precedes(c Class) bool {
	return len(w.openings) > 0 && w.openings[0].Meta.Class.rank() < c.rank()
}

// CountPlace counts a place that an opening of the class got, whether it waited or not.
func (w *WaitingOpenings) CountPlace(c Class) {
	if last := len(w.openings) - 1; last >= 0 && c.rank() < w.openings[last].Meta.Class.rank() {
		w.passed++
	} else {
		w.passed = 0
	}
}

// Next removes and returns the opening that gets the next place; ok is false if the room
// admits none. An opening does not overtake one of a higher priority, but at least one
// place in four goes to the lowest waiting priority, then to its oldest opening.
func (w *WaitingOpenings) Next(r Room) (o WaitingOpening, ok bool) {
	last := len(w.openings) - 1
	if w.passed >= guaranteedEvery-1 && last >= 0 && r.Allows(w.openings[last].Meta.Class, true) {
		w.passed = 0
		return w.take(last), true
	}
	for i := range w.openings {
		c := w.openings[i].Meta.Class
		if w.Precedes(c) {
			break
		}
		if r.Allows(c, false) {
			w.CountPlace(c)
			return w.take(i), true
		}
	}
	return WaitingOpening{}, false
}

func (w *WaitingOpenings) index(k Key) int {
	return slices.IndexFunc(w.openings, func(o WaitingOpening) bool { return o.Key == k })
}

func (w *WaitingOpenings) take(i int) WaitingOpening {
	o := w.openings[i]
	w.openings = slices.Delete(w.openings, i, i+1)
	return o
}
