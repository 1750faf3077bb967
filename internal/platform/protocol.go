package platform

import (
	"net/http"
	"net/url"
	"time"

	"crocusnotch/internal/config"
)

// Call is one request to the store.
type Call struct {
	Name    string // method label in the metrics
	Method  string
	Path    string
	Query   url.Values
	Header  http.Header
	Body    []byte
	Timeout time.Duration // set by the client
}

// Response is the store's response to a call.
type Response struct {
	Status int
	Body   []byte
	Era    uint64 // era of the store; see config.JoinRevision
}

// retryable reports whether a retry may succeed.
func (r Response) retryable() bool {
	return r.Status == http.StatusTooManyRequests || r.Status >= http.StatusInternalServerError
}

// Write is one conditional change of an object.
type Write struct {
	ID       config.ID
	Expected uint64 // required current revision as the store gave it out, 0 to create the object
	Value    []byte
	Remove   bool
}

// Protocol encodes the calls to one object API and decodes its responses. The client
// adds timeouts, retries, the rate limit, the handling of lost responses and the eras:
// the revisions of a Protocol are those that the store gives out.
type Protocol interface {
	Get(id config.ID) Call
	// List requests the page of a kind that starts after the given name.
	List(kind, after string) Call
	Watch(from uint64, wait time.Duration, kinds []string) Call
	Write(w Write) Call
	// Object decodes the object in a response to Get or Write, or in a conflict.
	Object(id config.ID, res Response) (config.Object, error)
	// Page decodes a response to List; next is empty after the last page.
	Page(kind string, res Response) (page Snapshot, next string, err error)
	// Changes decodes a response to Watch.
	Changes(from uint64, res Response) (Snapshot, error)
	// EraHeader is the name of the response header that contains the store's era.
	EraHeader() string
	// Conflict reports whether a write was rejected because of its revision.
	Conflict(res Response) bool
}
