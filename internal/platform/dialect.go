package platform

import (
	"net/http"
	"net/url"
	"time"

	"crocusnotch/internal/config"
)

// Call is one exchange with the store.
type Call struct {
	Name    string // label of the metrics
	Method  string
	Path    string
	Query   url.Values
	Header  http.Header
	Body    []byte
	Timeout time.Duration // set by the client
}

// Response is what the store answered.
type Response struct {
	Status int
	Body   []byte
}

// retryable reports whether another try may be answered.
func (r Response) retryable() bool {
	return r.Status == http.StatusTooManyRequests || r.Status >= http.StatusInternalServerError
}

// Write is one conditional change of an object.
type Write struct {
	ID       config.ID
	Expected uint64 // revision that the store must hold, 0 for a creation
	Value    []byte
	Remove   bool
}

// Protocol is the form that one object API has on the wire. The client adds
// time limits, retries, the call budget and the handling of lost answers.
type Protocol interface {
	Get(id config.ID) Call
	// List reads the page of a kind that follows the name after.
	List(kind, after string) Call
	Watch(from uint64, wait time.Duration, kinds []string) Call
	Write(w Write) Call
	// Object decodes the object that an answer to Get, Write or a conflict
	// holds.
	Object(id config.ID, res Response) (config.Object, error)
	// Page decodes an answer to List; next is empty after the last page.
	Page(kind string, res Response) (page Snapshot, next string, err error)
	// Changes decodes an answer to Watch.
	Changes(from uint64, res Response) (Snapshot, error)
	// Conflict reports whether a write was refused because of its revision.
	Conflict(res Response) bool
}
