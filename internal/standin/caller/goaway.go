package caller

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/quic-go/quic-go/http3/qlog"
	"github.com/quic-go/quic-go/qlogwriter"
)

// goAwayWatch detects a GOAWAY frame through the HTTP/3 library's event trace,
// the only public API that reports one. The library closes a connection without
// open streams as soon as it has read GOAWAY. The watch prevents this by opening
// an unused stream first, so that the caller can open the next flow before this
// one closes.
type goAwayWatch struct {
	client    atomic.Pointer[http3.ClientConn]
	producers atomic.Int32
	once      sync.Once
	received  chan struct{}
}

func newGoAwayWatch() *goAwayWatch { return &goAwayWatch{received: make(chan struct{})} }

// tracer implements quic.Config.Tracer.
func (g *goAwayWatch) tracer(context.Context, bool, quic.ConnectionID) qlogwriter.Trace { return g }

// AddProducer implements qlogwriter.Trace. The first producer is the QUIC layer,
// whose events are not recorded.
func (g *goAwayWatch) AddProducer() qlogwriter.Recorder {
	if g.producers.Add(1) == 1 {
		return nil
	}
	return g
}

// RecordEvent implements qlogwriter.Recorder.
func (g *goAwayWatch) RecordEvent(e qlogwriter.Event) {
	parsed, ok := e.(qlog.FrameParsed)
	if !ok {
		return
	}
	if _, ok := parsed.Frame.Frame.(qlog.GoAwayFrame); !ok {
		return
	}
	g.once.Do(func() {
		if c := g.client.Load(); c != nil {
			_, _ = c.OpenRequestStream(c.Context())
		}
		close(g.received)
	})
}

// Close implements qlogwriter.Recorder.
func (g *goAwayWatch) Close() error { return nil }
