package agent

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// errResponseClosed is returned to an attempt that writes after the response of
// its request was closed.
var errResponseClosed = errors.New("agent: the response is already closed")

// guardedWriter lets one attempt at a time write the response of a request until
// the response is closed. It implements http.ResponseWriter and http.Flusher for
// the attempts.
type guardedWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController

	// An attempt sets writing before it checks closing, and close sets closing
	// before it checks writing, so that at least one of them sees the other.
	writing atomic.Bool
	closing atomic.Bool

	mu      sync.Mutex
	header  http.Header
	started bool // a part of a response was sent to the caller
}

func newGuardedWriter(w http.ResponseWriter) *guardedWriter {
	return &guardedWriter{w: w, rc: http.NewResponseController(w), header: http.Header{}}
}

// Header implements http.ResponseWriter. The headers belong to the current
// attempt.
func (g *guardedWriter) Header() http.Header { return g.header }

// WriteHeader implements http.ResponseWriter.
func (g *guardedWriter) WriteHeader(status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing.Store(true)
	if g.closing.Load() {
		return
	}
	g.started = true
	g.copyHeader()
	g.w.WriteHeader(status)
}

func (g *guardedWriter) copyHeader() {
	h := g.w.Header()
	for name, values := range g.header {
		h[name] = values
	}
}

// Write implements http.ResponseWriter.
func (g *guardedWriter) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing.Load() {
		return 0, errResponseClosed
	}
	return g.w.Write(p)
}

// Flush implements http.Flusher.
func (g *guardedWriter) Flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing.Load() {
		return
	}
	_ = g.rc.Flush()
}

// finish closes a complete response and adds its trailers.
func (g *guardedWriter) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing.Store(true)
	g.copyHeader()
}

// close rejects further writes of attempts and reports whether a part of a
// response was sent to the caller.
func (g *guardedWriter) close() (started bool) {
	g.closing.Store(true)
	if g.writing.Load() {
		// A write that blocks on the caller holds the lock: interrupt it first.
		_ = g.rc.SetWriteDeadline(time.Now())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}
