package agent

import (
	"context"
	"net"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// epoch is the time between two drains: one HTTP/3 server, whose shutdown
// sends GOAWAY on all flows that were opened in the epoch. It implements
// http3.QUICListener.
type epoch struct {
	server  *http3.Server
	addr    net.Addr
	conns   chan *quic.Conn
	stopped chan struct{}
	served  chan struct{}
	drained chan struct{} // closed when all flows have ended after drain
}

func newEpoch(addr net.Addr, handler http.Handler) *epoch {
	e := &epoch{
		server:  &http3.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes},
		addr:    addr,
		conns:   make(chan *quic.Conn),
		stopped: make(chan struct{}),
		served:  make(chan struct{}),
		drained: make(chan struct{}),
	}
	go func() {
		defer close(e.served)
		_ = e.server.ServeListener(e)
	}()
	return e
}

// Accept implements http3.QUICListener.
func (e *epoch) Accept(ctx context.Context) (*quic.Conn, error) {
	select {
	case c := <-e.conns:
		return c, nil
	case <-e.stopped:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Addr implements http3.QUICListener.
func (e *epoch) Addr() net.Addr { return e.addr }

// Close implements http3.QUICListener.
func (e *epoch) Close() error { return nil }

// drain sends GOAWAY on all flows and returns. No flow is cut: the callers end
// them. It must be called once.
func (e *epoch) drain() {
	close(e.stopped)
	// The server counts a connection before it accepts the next one, so after
	// this no connection is in between.
	<-e.served
	go func() {
		defer close(e.drained)
		_ = e.server.Shutdown(context.Background())
	}()
}
