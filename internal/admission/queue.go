package admission

import (
	"slices"
	"time"
)

// queue holds waiting works, the next to start first: by priority, then by
// deadline, then by arrival.
type queue struct {
	works []waiting
	next  uint64 // sequence number of the next arrival
}

type waiting struct {
	Request
	seq uint64
}

// before reports whether w starts earlier than other.
func (w *waiting) before(other *waiting) bool {
	if w.Priority != other.Priority {
		return w.Priority > other.Priority
	}
	if !w.Deadline.Equal(other.Deadline) {
		return earlier(w.Deadline, other.Deadline)
	}
	return w.seq < other.seq
}

// earlier orders deadlines; the zero time means none and comes last.
func earlier(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return b.IsZero() && !a.IsZero()
	}
	return a.Before(b)
}

func (q *queue) len() int { return len(q.works) }

// position returns how many works would start before w.
func (q *queue) position(w *Request) int {
	candidate := waiting{Request: *w, seq: q.next}
	at, _ := slices.BinarySearchFunc(q.works, candidate, func(have, want waiting) int {
		if have.before(&want) {
			return -1
		}
		return 1
	})
	return at
}

func (q *queue) insert(w *Request) {
	at := q.position(w)
	q.works = slices.Insert(q.works, at, waiting{Request: *w, seq: q.next})
	q.next++
}

// pop removes the first work.
func (q *queue) pop() Request {
	w := q.works[0].Request
	q.works = slices.Delete(q.works, 0, 1)
	return w
}

// popLast removes the last work.
func (q *queue) popLast() Request {
	last := len(q.works) - 1
	w := q.works[last].Request
	q.works = slices.Delete(q.works, last, last+1)
	return w
}

func (q *queue) last() *Request { return &q.works[len(q.works)-1].Request }

// remove takes out the work with the ID and reports whether it was there.
func (q *queue) remove(id uint64) bool {
	at := slices.IndexFunc(q.works, func(w waiting) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	q.works = slices.Delete(q.works, at, at+1)
	return true
}

// removeIf takes out all works that match and returns their IDs.
func (q *queue) removeIf(match func(*Request) bool) []uint64 {
	var out []uint64
	q.works = slices.DeleteFunc(q.works, func(w waiting) bool {
		if !match(&w.Request) {
			return false
		}
		out = append(out, w.ID)
		return true
	})
	return out
}
