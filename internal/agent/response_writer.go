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

// responseWriter lets one attempt at a time write the response of a request until
// the response is closed. It implements http.ResponseWriter and http.Flusher for
// the attempts.
type responseWriter struct {
	inner      http.ResponseWriter
	controller *http.ResponseController

	// An attempt sets writing before it checks closed, and close sets closed
	// before it checks writing, so that at least one of them sees the other.
	writing atomic.Bool
	closed  atomic.Bool

	mu      sync.Mutex
	header  http.Header
	started bool // a part of a response was sent to the caller
}

func newResponseWriter(w http.ResponseWriter) *responseWriter {
	return &responseWriter{inner: w, controller: http.NewResponseController(w), header: http.Header{}}
}

// Header implements http.ResponseWriter. The headers belong to the current
// attempt.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing.Store(true)
	if w.closed.Load() {
		return
	}
	w.started = true
	w.copyHeader()
	w.inner.WriteHeader(status)
}

func (w *responseWriter) copyHeader() {
	h := w.inner.Header()
	for name, values := range w.header {
		h[name] = values
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed.Load() {
		return 0, errResponseClosed
	}
	return w.inner.Write(p)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed.Load() {
		return
	}
	_ = w.controller.Flush()
}

// finish closes a complete response and adds its trailers.
func (w *responseWriter) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed.Store(true)
	w.copyHeader()
}

// close rejects further writes of attempts and reports whether a part of a
// response was sent to the caller.
func (w *responseWriter) close() (started bool) {
	w.closed.Store(true)
	if w.writing.Load() {
		// A write that blocks on the caller holds the lock: interrupt it first.
		_ = w.controller.SetWriteDeadline(time.Now())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}
