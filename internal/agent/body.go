package agent

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// maxReplayBody is the longest request body that is kept for a second try, in
// bytes.
const maxReplayBody = 64 << 10

const prefetchStep = 4 << 10

// errBodyGone is returned when a body can't be read from its first byte again.
var errBodyGone = errors.New("agent: request body is no longer kept")

// replayBody reads a request's body and keeps its start, so that the request
// can be sent again elsewhere after a refusal.
type replayBody struct {
	lost atomic.Bool // the start is no longer kept

	mu   sync.Mutex
	src  io.Reader
	kept []byte
	read int // bytes read from src
	err  error
}

func newReplayBody(src io.Reader) *replayBody { return &replayBody{src: src} }

// replayable reports whether a new reader starts at the first byte.
func (b *replayBody) replayable() bool { return !b.lost.Load() }

// reader returns a reader of the body from its first byte. Earlier readers
// must be closed before.
func (b *replayBody) reader() io.ReadCloser { return &bodyReader{body: b} }

// prefetch reads the start of the body until it ends or maxReplayBody bytes are
// kept.
func (b *replayBody) prefetch() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf := make([]byte, prefetchStep)
	for b.err == nil && b.read+len(buf) <= maxReplayBody {
		n, err := b.src.Read(buf)
		b.read += n
		b.err = err
		b.keep(buf[:n])
	}
	if b.err == nil || b.err == io.EOF {
		return nil
	}
	return b.err
}

// whole returns the body when all of it is kept.
func (b *replayBody) whole() ([]byte, bool) {
	if b.lost.Load() {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept, b.err == io.EOF
}

// release stops keeping the start: no second try follows.
func (b *replayBody) release() { b.lost.Store(true) }

func (b *replayBody) readAt(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < len(b.kept) {
		return copy(p, b.kept[offset:]), nil
	}
	if offset < b.read {
		return 0, errBodyGone
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.read += n
	b.err = err
	b.keep(p[:n])
	return n, err
}

func (b *replayBody) keep(p []byte) {
	if len(p) == 0 {
		return
	}
	if b.read > maxReplayBody {
		b.lost.Store(true)
	}
	if b.lost.Load() {
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
}

type bodyReader struct {
	body   *replayBody
	offset int
	closed atomic.Bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := r.body.readAt(p, r.offset)
	r.offset += n
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
