package agent

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// maxReplayBody is the longest request body that is buffered for another
// attempt, in bytes.
const maxReplayBody = 64 << 10

const prefetchChunk = 4 << 10

// errBodyDiscarded is returned when the start of a body is no longer buffered.
var errBodyDiscarded = errors.New("agent: request body is no longer buffered")

// replayBody reads a request's body and buffers its start, so that the request
// can be sent again to another destination after a refusal.
type replayBody struct {
	discarded atomic.Bool // the start is no longer buffered

	mu        sync.Mutex
	src       io.Reader
	buffered  []byte
	readBytes int // bytes read from src
	err       error
}

func newReplayBody(src io.Reader) *replayBody { return &replayBody{src: src} }

// replayable reports whether a new reader starts at the first byte.
func (b *replayBody) replayable() bool { return !b.discarded.Load() }

// reader returns a reader of the body from its first byte. Earlier readers must
// be closed first.
func (b *replayBody) reader() io.ReadCloser { return &bodyReader{body: b} }

// prefetch reads the body until it ends or maxReplayBody bytes are buffered.
func (b *replayBody) prefetch() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf := make([]byte, prefetchChunk)
	for b.err == nil && b.readBytes+len(buf) <= maxReplayBody {
		n, err := b.src.Read(buf)
		b.readBytes += n
		b.err = err
		b.buffer(buf[:n])
	}
	if b.err == nil || b.err == io.EOF {
		return nil
	}
	return b.err
}

// complete returns the body if all of it is buffered.
func (b *replayBody) complete() ([]byte, bool) {
	if b.discarded.Load() {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered, b.err == io.EOF
}

// discard stops the buffering, because no further attempt follows.
func (b *replayBody) discard() { b.discarded.Store(true) }

func (b *replayBody) readAt(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < len(b.buffered) {
		return copy(p, b.buffered[offset:]), nil
	}
	if offset < b.readBytes {
		return 0, errBodyDiscarded
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.readBytes += n
	b.err = err
	b.buffer(p[:n])
	return n, err
}

func (b *replayBody) buffer(p []byte) {
	if len(p) == 0 {
		return
	}
	if b.readBytes > maxReplayBody {
		b.discarded.Store(true)
	}
	if b.discarded.Load() {
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, p...)
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
