package agent

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// errGateClosed is returned to a try whose request was answered otherwise.
var errResponseClosed = errors.New("agent: the request was answered already")

// gate lets one try at a time write the answer of a request, until the request
// is answered. It implements http.ResponseWriter and http.Flusher for the try.
type responseWriter struct {
	inner      http.ResponseWriter
	controller *http.ResponseController

	// entered is set before a try looks at closing, and closing before close
	// looks at entered, so that one of them sees the other.
	writing atomic.Bool
	closed  atomic.Bool

	mu      sync.Mutex
	header  http.Header
	started bool // a part of an answer was passed on
}

func newResponseWriter(w http.ResponseWriter) *responseWriter {
	return &responseWriter{inner: w, controller: http.NewResponseController(w), header: http.Header{}}
}

// Header implements http.ResponseWriter. It belongs to the current try.
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

// finish ends a whole answer with its trailers.
func (w *responseWriter) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed.Store(true)
	w.copyHeader()
}

// close ends the writing of tries and reports whether a part of an answer was
// passed on.
func (w *responseWriter) close() (started bool) {
	w.closed.Store(true)
	if w.writing.Load() {
		// A write that waits for the caller holds the lock: it is ended first.
		_ = w.controller.SetWriteDeadline(time.Now())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}
