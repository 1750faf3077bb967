package agent

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// errGateClosed is returned to a try whose request was answered otherwise.
var errGateClosed = errors.New("agent: the request was answered already")

// gate lets one try at a time write the answer of a request, until the request
// is answered. It implements http.ResponseWriter and http.Flusher for the try.
type gate struct {
	w  http.ResponseWriter
	rc *http.ResponseController

	// entered is set before a try looks at closing, and closing before close
	// looks at entered, so that one of them sees the other.
	entered atomic.Bool
	closing atomic.Bool

	mu     sync.Mutex
	header http.Header
	passed bool // a part of an answer was passed on
}

func newGate(w http.ResponseWriter) *gate {
	return &gate{w: w, rc: http.NewResponseController(w), header: http.Header{}}
}

// Header implements http.ResponseWriter. It belongs to the current try.
func (g *gate) Header() http.Header { return g.header }

// WriteHeader implements http.ResponseWriter.
func (g *gate) WriteHeader(status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entered.Store(true)
	if g.closing.Load() {
		return
	}
	g.passed = true
	g.adopt()
	g.w.WriteHeader(status)
}

func (g *gate) adopt() {
	h := g.w.Header()
	for name, values := range g.header {
		h[name] = values
	}
}

// Write implements http.ResponseWriter.
func (g *gate) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing.Load() {
		return 0, errGateClosed
	}
	return g.w.Write(p)
}

// Flush implements http.Flusher.
func (g *gate) Flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing.Load() {
		return
	}
	_ = g.rc.Flush()
}

// finish ends a whole answer with its trailers.
func (g *gate) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing.Store(true)
	g.adopt()
}

// close ends the writing of tries and reports whether a part of an answer was
// passed on.
func (g *gate) close() (passed bool) {
	g.closing.Store(true)
	if g.entered.Load() {
		// A write that waits for the caller holds the lock: it is ended first.
		_ = g.rc.SetWriteDeadline(time.Now())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passed
}
