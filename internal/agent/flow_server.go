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
type flowServer struct {
	http3         *http3.Server
	addr          net.Addr
	conns         chan *quic.Conn
	acceptStopped chan struct{}
	acceptEnded   chan struct{}
	drained       chan struct{} // closed when all flows have ended after drain
}

func newFlowServer(addr net.Addr, handler http.Handler) *flowServer {
	s := &flowServer{
		http3:         &http3.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes},
		addr:          addr,
		conns:         make(chan *quic.Conn),
		acceptStopped: make(chan struct{}),
		acceptEnded:   make(chan struct{}),
		drained:       make(chan struct{}),
	}
	go func() {
		defer close(s.acceptEnded)
		_ = s.http3.ServeListener(s)
	}()
	return s
}

// Accept implements http3.QUICListener.
func (s *flowServer) Accept(ctx context.Context) (*quic.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.acceptStopped:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Addr implements http3.QUICListener.
func (s *flowServer) Addr() net.Addr { return s.addr }

// Close implements http3.QUICListener.
func (s *flowServer) Close() error { return nil }

// drain sends GOAWAY on all flows and returns. No flow is cut: the callers end
// them. It must be called once.
func (s *flowServer) drain() {
	close(s.acceptStopped)
	// The server counts a connection before it accepts the next one, so after
	// this no connection is in between.
	<-s.acceptEnded
	go func() {
		defer close(s.drained)
		_ = s.http3.Shutdown(context.Background())
	}()
}
