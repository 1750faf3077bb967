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

// goAwayWatch learns of a GOAWAY frame through the HTTP/3 library's event
// trace, which is its only public sign of one. The library closes a
// connection without open streams as soon as it has read GOAWAY; the watch
// opens a stream of its own before that, on which nothing is ever sent, so
// that the caller can open the next flow first.
type goAwayWatch struct {
	client    atomic.Pointer[http3.ClientConn]
	producers atomic.Int32
	once      sync.Once
	arrived   chan struct{}
}

func newGoAwayWatch() *goAwayWatch { return &goAwayWatch{arrived: make(chan struct{})} }

// tracer is for quic.Config.Tracer.
func (g *goAwayWatch) tracer(context.Context, bool, quic.ConnectionID) qlogwriter.Trace { return g }

// AddProducer implements qlogwriter.Trace. The first producer is the QUIC
// layer, whose events are not wanted.
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
		close(g.arrived)
	})
}

// Close implements qlogwriter.Recorder.
func (g *goAwayWatch) Close() error { return nil }
