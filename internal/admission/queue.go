package admission

import (
	"slices"
	"time"
)

// queue holds the waiting requests in the order in which they start: by
// priority, then by deadline, then by arrival.
type queue struct {
	requests []queuedRequest
	nextSeq  uint64 // sequence number of the next arrival
}

type queuedRequest struct {
	Request
	seq uint64
}

// startsBefore reports whether r starts earlier than other.
func (r *queuedRequest) startsBefore(other *queuedRequest) bool {
	if r.Priority != other.Priority {
		return r.Priority > other.Priority
	}
	if !r.Deadline.Equal(other.Deadline) {
		return earlierDeadline(r.Deadline, other.Deadline)
	}
	return r.seq < other.seq
}

// earlierDeadline reports whether deadline a is before b. The zero time means
// no deadline and comes last.
func earlierDeadline(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return b.IsZero() && !a.IsZero()
	}
	return a.Before(b)
}

func (q *queue) len() int { return len(q.requests) }

// position returns how many waiting requests would start before r.
func (q *queue) position(r *Request) int {
	candidate := queuedRequest{Request: *r, seq: q.nextSeq}
	at, _ := slices.BinarySearchFunc(q.requests, candidate, func(have, want queuedRequest) int {
		if have.startsBefore(&want) {
			return -1
		}
		return 1
	})
	return at
}

func (q *queue) insert(r *Request) {
	at := q.position(r)
	q.requests = slices.Insert(q.requests, at, queuedRequest{Request: *r, seq: q.nextSeq})
	q.nextSeq++
}

// pop removes and returns the first request.
func (q *queue) pop() Request {
	r := q.requests[0].Request
	q.requests = slices.Delete(q.requests, 0, 1)
	return r
}

// popLast removes and returns the last request.
func (q *queue) popLast() Request {
	last := len(q.requests) - 1
	r := q.requests[last].Request
	q.requests = slices.Delete(q.requests, last, last+1)
	return r
}

func (q *queue) last() *Request { return &q.requests[len(q.requests)-1].Request }

// remove removes the request with the ID and reports whether it was queued.
func (q *queue) remove(id uint64) bool {
	at := slices.IndexFunc(q.requests, func(r queuedRequest) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	q.requests = slices.Delete(q.requests, at, at+1)
	return true
}

// removeIf removes all requests that match and returns their IDs.
func (q *queue) removeIf(match func(*Request) bool) []uint64 {
	var out []uint64
	q.requests = slices.DeleteFunc(q.requests, func(r queuedRequest) bool {
		if !match(&r.Request) {
			return false
		}
		out = append(out, r.ID)
		return true
	})
	return out
}
