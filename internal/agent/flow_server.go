package agent

import (
	"context"
	"net"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// flowServer is an HTTP/3 server for the flows that are opened until the next
// drain. A drain shuts it down, which sends GOAWAY on these flows; later flows get
// a new server. It implements http3.QUICListener.
type flowServer struct {
	server  *http3.Server
	addr    net.Addr
	conns   chan *quic.Conn
	stopped chan struct{} // closed by drain
	served  chan struct{} // closed when the server has stopped accepting
	drained chan struct{} // closed after drain, once all flows have ended
}

func newFlowServer(addr net.Addr, handler http.Handler) *flowServer {
	s := &flowServer{
		server:  &http3.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes},
		addr:    addr,
		conns:   make(chan *quic.Conn),
		stopped: make(chan struct{}),
		served:  make(chan struct{}),
		drained: make(chan struct{}),
	}
	go func() {
		defer close(s.served)
		_ = s.server.ServeListener(s)
	}()
	return s
}

// Accept implements http3.QUICListener.
func (s *flowServer) Accept(ctx context.Context) (*quic.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.stopped:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Addr implements http3.QUICListener.
func (s *flowServer) Addr() net.Addr { return s.addr }

// Close implements http3.QUICListener.
func (s *flowServer) Close() error { return nil }

// drain sends GOAWAY on all flows without waiting for their end. It interrupts no
// flow: the callers close them. It must be called at most once.
func (s *flowServer) drain() {
	close(s.stopped)
	// The server registers a connection before it accepts the next one. Once it
	// has stopped accepting, Shutdown covers every accepted connection.
	<-s.served
	go func() {
		defer close(s.drained)
		_ = s.server.Shutdown(context.Background())
	}()
}
