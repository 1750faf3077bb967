package telemetry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxQueuedLines bounds the lines queued for a slow reader to about a megabyte.
	maxQueuedLines = 4096
	// maxLinesPerWindow bounds the lines of one category in windowLength.
	maxLinesPerWindow = 40
	windowLength      = time.Second
	// flushTimeout bounds the wait for a slow reader when the process exits.
	flushTimeout      = 200 * time.Millisecond
	flushPollInterval = 2 * time.Millisecond
)

// lineQueue passes lines to a goroutine that writes them, so that a slow or stopped
// reader never blocks the process. The goroutine runs only while lines are queued.
type lineQueue struct {
	w       io.Writer
	mu      sync.Mutex
	lines   [][]byte
	writing bool
	dropped int
}

// Write implements io.Writer. It never blocks.
func (q *lineQueue) Write(b []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.lines) >= maxQueuedLines {
		q.dropped++
		return len(b), nil
	}
	q.lines = append(q.lines, bytes.Clone(b))
	if !q.writing {
		q.writing = true
		go q.drain()
	}
	return len(b), nil
}

func (q *lineQueue) drain() {
	for {
		q.mu.Lock()
		lines := q.lines
		q.lines = nil
		q.writing = len(lines) > 0
		q.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		for _, line := range lines {
			_, _ = q.w.Write(line) // there is nowhere else to report the error
		}
	}
}

// flush waits until all lines are written, at most flushTimeout.
func (q *lineQueue) flush() {
	for deadline := time.Now().Add(flushTimeout); time.Now().Before(deadline); time.Sleep(flushPollInterval) {
		q.mu.Lock()
		idle := !q.writing
		q.mu.Unlock()
		if idle {
			return
		}
	}
}

// takeDropped returns the number of dropped lines and resets it.
func (q *lineQueue) takeDropped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.dropped
	q.dropped = 0
	return n
}

// window counts the lines of one category within windowLength.
type window struct {
	start   time.Time
	lines   int
	omitted int
}

// rateLimits holds the windows of all categories, shared by the handlers of one
// logger.
type rateLimits struct {
	mu      sync.Mutex
	windows map[string]*window
}

// admit reports whether another line of the category may be written, and how many
// were omitted before it.
func (l *rateLimits) admit(now time.Time, category string) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[category]
	if w == nil {
		w = &window{start: now}
		l.windows[category] = w
	}
	if now.Sub(w.start) >= windowLength {
		w.start, w.lines = now, 0
	}
	if w.lines >= maxLinesPerWindow {
		w.omitted++
		return false, 0
	}
	w.lines++
	omitted = w.omitted
	w.omitted = 0
	return true, omitted
}

// boundedHandler limits the lines of each category. A category is a message with the
// values of its attributes "decision" and "reason".
type boundedHandler struct {
	slog.Handler
	limits *rateLimits
	queue  *lineQueue
}

// NewBoundedLogger returns a logger that writes JSON lines, never blocks and limits
// its volume. The next line of a category has the number of lines omitted before it
// ("omitted"); the next line of any category has the number of lines dropped because
// of a slow reader ("lost"). flush waits a short time for queued lines.
func NewBoundedLogger(w io.Writer, role, name string) (log *slog.Logger, flush func()) {
	q := &lineQueue{w: w}
	h := &boundedHandler{
		Handler: slog.NewJSONHandler(q, nil),
		limits:  &rateLimits{windows: map[string]*window{}},
		queue:   q,
	}
	return slog.New(h).With("role", role, "process", name), q.flush
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	ok, omitted := h.limits.admit(r.Time, categoryOf(&r))
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int("omitted", omitted))
	}
	if dropped := h.queue.takeDropped(); dropped > 0 {
		r.AddAttrs(slog.Int("lost", dropped))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits, queue: h.queue}
}

// WithGroup implements slog.Handler.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithGroup(name), limits: h.limits, queue: h.queue}
}

func categoryOf(r *slog.Record) string {
	category := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "decision" || a.Key == "reason" {
			category += "|" + a.Value.String()
		}
		return true
	})
	return category
}
