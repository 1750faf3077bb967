// Package explain keeps the recent changes of state of one process, so that
// the fleet can say why something is as it is.
package explain

import (
	"sync"
	"time"
)

// Subject is what an event is about.
type Subject string

// Subjects of events.
const (
	SubjectProcess  Subject = "process"
	SubjectUpstream Subject = "upstream"
	SubjectService  Subject = "service"
	SubjectZone     Subject = "zone"
	SubjectFlow     Subject = "flow"
	SubjectRequest  Subject = "request"
	SubjectConfig   Subject = "config"
	SubjectStore    Subject = "store"
)

// Event is one change of state and its cause.
type Event struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"` // data address of the process
	Subject Subject   `json:"subject"`
	Name    string    `json:"name"` // for example the service or the address
	Change  string    `json:"what"` // what changed, for example "ready to cold"
	Cause   string    `json:"why"`  // the cause, for example "shed 3 of 5"
}

// Ring keeps the last events. It is safe for concurrent use.
type Ring struct {
	process string
	mu      sync.Mutex
	events  []Event
	next    int
	full    bool
}

// NewRing returns a ring for size events of the named process.
func NewRing(process string, size int) *Ring {
	return &Ring{process: process, events: make([]Event, size)}
}

// Add records an event; the oldest is dropped when the ring is full.
func (r *Ring) Add(now time.Time, subject Subject, name, what, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = Event{Time: now, Process: r.process, Subject: subject, Name: name, Change: what, Cause: why}
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Find returns the events about name, oldest first; an empty name returns all.
func (r *Ring) Find(name string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.ordered() {
		if name == "" || e.Name == name {
			out = append(out, e)
		}
	}
	return out
}

func (r *Ring) ordered() []Event {
	if !r.full {
		return r.events[:r.next]
	}
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}
