// Package explain records the recent state changes of one process with their causes,
// which operators query to find out why something is in its state.
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

// Event is one state change and its cause.
type Event struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"` // data address of the process
	Subject Subject   `json:"subject"`
	Name    string    `json:"name"` // for example the service or the address
	Change  string    `json:"what"` // for example "ready to cold"
	Cause   string    `json:"why"`  // for example "shed 3 of 5"
}

// Ring is a ring buffer of the last events. It is safe for concurrent use.
type Ring struct {
	process string
	mu      sync.Mutex
	events  []Event
	next    int
	full    bool
}

// NewRing returns a ring for size events of the process.
func NewRing(process string, size int) *Ring {
	return &Ring{process: process, events: make([]Event, size)}
}

// Add records an event; when the ring is full, it replaces the oldest.
func (r *Ring) Add(now time.Time, subject Subject, name, change, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = Event{Time: now, Process: r.process, Subject: subject, Name: name, Change: change, Cause: cause}
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

// ordered returns the events, oldest first. Until the ring is full, the result shares
// its memory.
func (r *Ring) ordered() []Event {
	if !r.full {
		return r.events[:r.next]
	}
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}
