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

// session is a flow and, where the caller wants one, its long stream.
type session struct {
	flow   *flow
	cancel context.CancelFunc // ends the long stream; may be nil
}

// end lets go of the flow by the caller's own will.
func (s *session) end() {
	s.flow.retire()
	if s.cancel != nil {
		s.cancel()
	}
}

// openSession opens a flow and its long stream.
func (p *Pool) openSession(ctx context.Context, slot int) (*session, error) {
	f, err := p.dialer.dial(ctx, slot)
	if err != nil {
		if ctx.Err() == nil {
			p.o.Counters.add(func(t *Totals) { t.FlowsFailed++ })
		}
		return nil, err
	}
	p.o.Counters.add(func(t *Totals) { t.FlowsOpened++ })
	p.open.Add(1)
	p.wg.Go(func() { p.observe(ctx, f) })
	s := &session{flow: f}
	if float64(slot) < p.o.StreamShare*float64(len(p.slots)) {
		p.openStream(ctx, s)
	}
	return s, nil
}

// openStream starts the long stream of a session. A refusal leaves the
// session without one.
func (p *Pool) openStream(ctx context.Context, s *session) {
	if !s.flow.acquire() {
		return
	}
	ctx, s.cancel = context.WithCancel(ctx)
	late := time.AfterFunc(streamTimeout, s.cancel)
	id := p.newID()
	res, err := s.flow.client.RoundTrip(p.newRequest(ctx, http.MethodGet, p.o.StreamPath, payload.Request{ID: id, Attempt: 1, Stream: true}))
	if err != nil || res.StatusCode != http.StatusOK || !late.Stop() {
		p.o.Counters.add(func(t *Totals) { t.Refusals["stream"]++ })
		if err == nil {
			_ = res.Body.Close()
		}
		s.cancel()
		s.flow.release()
		return
	}
	p.o.Counters.add(func(t *Totals) { t.StreamsOpened++ })
	p.wg.Go(func() {
		defer s.flow.release()
		defer s.cancel()
		defer func() { _ = res.Body.Close() }()
		p.readStream(ctx, id, res.Body)
	})
}

// readStream checks chunks until the caller ends the stream.
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
			p.o.Counters.streamBroken()
			return
		}
		_, _ = want.Read(expected)
		if string(expected) != string(got) {
			p.o.Counters.add(func(t *Totals) { t.Mismatched++ })
			return
		}
	}
}

func (p *Pool) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s-%016x%016x", p.o.Service, p.rnd.Uint64(), p.rnd.Uint64())
}

func (p *Pool) newRequest(ctx context.Context, method, path string, q payload.Request) *http.Request {
	url := "https://" + devcerts.CallersName + path + "?" + q.Query()
	req, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		panic(errors.Wrap(err, "caller: own request"))
	}
	return req
}
