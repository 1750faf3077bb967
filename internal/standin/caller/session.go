package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/devcerts"
	"crocusnotch/internal/standin/payload"
)

// streamTimeout bounds the wait for the first bytes of a long stream.
const streamTimeout = 5 * time.Second

// session is a flow with an optional long stream.
type session struct {
	flow   *flow
	cancel context.CancelFunc // ends the long stream; may be nil
}

// close ends the long stream and retires the flow.
func (s *session) close() {
	s.flow.retire()
	if s.cancel != nil {
		s.cancel()
	}
}

// openSession opens a flow, with a long stream for the share of slots that
// StreamShare sets.
func (p *Pool) openSession(ctx context.Context, slot int) (*session, error) {
	f, err := p.dialer.dial(ctx, slot)
	if err != nil {
		if ctx.Err() == nil {
			p.opts.Counters.update(func(t *Totals) { t.FlowsFailed++ })
		}
		return nil, err
	}
	p.opts.Counters.update(func(t *Totals) { t.FlowsOpened++ })
	p.open.Add(1)
	p.wg.Go(func() { p.recordEnd(ctx, f) })
	s := &session{flow: f}
	if float64(slot) < p.opts.StreamShare*float64(len(p.slots)) {
		p.openStream(ctx, s)
	}
	return s, nil
}

// openStream starts the long stream of a session. If the stream can't be opened,
// the session goes on without it.
func (p *Pool) openStream(ctx context.Context, s *session) {
	if !s.flow.acquire() {
		return
	}
	ctx, s.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(streamTimeout, s.cancel)
	id := p.newID()
	res, err := s.flow.client.RoundTrip(p.newRequest(ctx, http.MethodGet, p.opts.StreamPath, payload.Request{ID: id, Attempt: 1, Stream: true}))
	if err != nil || res.StatusCode != http.StatusOK || !timer.Stop() {
		p.opts.Counters.update(func(t *Totals) { t.Refusals["stream"]++ })
		if err == nil {
			_ = res.Body.Close()
		}
		s.cancel()
		s.flow.release()
		return
	}
	p.opts.Counters.update(func(t *Totals) { t.StreamsOpened++ })
	p.wg.Go(func() {
		defer s.flow.release()
		defer s.cancel()
		defer func() { _ = res.Body.Close() }()
		p.readStream(ctx, id, res.Body)
	})
}

// readStream checks the received chunks until ctx ends or the stream fails.
func (p *Pool) readStream(ctx context.Context, id string, body io.Reader) {
	want := payload.NewReader(id)
	expected := make([]byte, payload.ChunkSize)
	got := make([]byte, payload.ChunkSize)
	for {
		_, err := io.ReadFull(body, got)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.opts.Counters.streamBroken()
			return
		}
		_, _ = want.Read(expected)
		if string(expected) != string(got) {
			p.opts.Counters.update(func(t *Totals) { t.Mismatched++ })
			return
		}
	}
}

func (p *Pool) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s-%016x%016x", p.opts.Service, p.rnd.Uint64(), p.rnd.Uint64())
}

// newRequest panics if the path is invalid.
func (p *Pool) newRequest(ctx context.Context, method, path string, q payload.Request) *http.Request {
	url := "https://" + devcerts.CallerServerName + path + "?" + q.Query()
	req, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		panic(errors.Wrap(err, "caller: build request"))
	}
	return req
}
