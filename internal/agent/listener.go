package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/request"
	"crocusnotch/internal/routing"
)

const (
	flowIdleTimeout  = 30 * time.Second
	handshakeTimeout = 5 * time.Second
	streamWindow     = 16 << 10 // bytes
	connWindow       = 32 << 10 // bytes
	maxHeaderBytes   = 32 << 10
	// errCodeRejected closes a flow of which no request was processed.
	errCodeRejected = quic.ApplicationErrorCode(http3.ErrCodeRequestRejected)
)

// flowListener accepts flows and passes them to the current flowServer.
type flowListener struct {
	flows     *flowSet
	handler   http.Handler
	transport *quic.Transport
	listener  *quic.Listener
	metrics   *metrics

	mu       sync.Mutex
	server   *flowServer
	draining bool
}

// flowRefusedError is the error of a flow that is refused before its handshake.
type flowRefusedError struct{ reason request.Reason }

// Error implements error.
func (e flowRefusedError) Error() string { return "flow refused: " + string(e.reason) }

type listenerOptions struct {
	socket  *socket
	cert    *tls.Certificate
	ring    *keyring.Ring
	token   func() (routing.Token, *keyring.Ring)
	refuse  func() request.Reason
	flows   *flowSet
	handler http.Handler
	metrics *metrics
}

func newFlowListener(o listenerOptions) (*flowListener, error) {
	reset := quic.StatelessResetKey(o.ring.ResetKey())
	l := &flowListener{flows: o.flows, handler: o.handler, metrics: o.metrics}
	l.transport = &quic.Transport{
		Conn:                  o.socket,
		ConnectionIDLength:    routing.TokenSize,
		ConnectionIDGenerator: &tokenSource{token: o.token},
		StatelessResetKey:     &reset,
		ConnContext: func(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
			if reason := o.refuse(); reason != request.ReasonNone {
				o.metrics.refused.WithLabelValues(string(reason)).Inc()
				return nil, flowRefusedError{reason}
			}
			o.metrics.flows.WithLabelValues("begun").Inc()
			_, ring := o.token()
			return o.flows.add(ctx, ring.SigningGeneration()), nil
		},
	}
	var err error
	l.listener, err = l.transport.Listen(callerTLS(o.cert), flowConfig())
	if err != nil {
		return nil, errors.Wrap(err, "listen for flows")
	}
	return l, nil
}

func callerTLS(cert *tls.Certificate) *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		Certificates:           []tls.Certificate{*cert},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
	})
}

func flowConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 flowIdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     connWindow,
		DisablePathMTUDiscovery:        true,
	}
}

// run accepts flows until ctx ends.
func (l *flowListener) run(ctx context.Context) error {
	for {
		conn, err := l.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept flow")
		}
		l.serve(conn)
	}
}

func (l *flowListener) serve(conn *quic.Conn) {
	if !l.flows.establish(conn) {
		_ = conn.CloseWithError(errCodeZoneOut, string(request.ReasonZoneOut))
		return
	}
	l.metrics.flows.WithLabelValues("established").Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		l.server = newFlowServer(l.listener.Addr(), l.handler)
	}
	select {
	case l.server.conns <- conn:
	case <-l.server.served:
		// The server ended by itself and did not process the flow.
		_ = conn.CloseWithError(errCodeRejected, "")
		l.server = nil
	}
	if l.draining {
		// The handshake overlapped with the start of the drain: send GOAWAY now.
		l.drainServer()
	}
}

// setDraining starts or ends a drain. A drain sends GOAWAY on every flow.
func (l *flowListener) setDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if draining && !l.draining {
		l.drainServer()
	}
	l.draining = draining
}

func (l *flowListener) drainServer() {
	if l.server == nil {
		return
	}
	l.server.drain()
	l.server = nil
}

// close closes all flows immediately.
func (l *flowListener) close() {
	_ = l.listener.Close()
	_ = l.transport.Close()
	l.setDraining(true)
}
