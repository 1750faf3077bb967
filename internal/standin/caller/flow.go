package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Flow control windows and packet size in bytes. The windows are small, so that
// one process can hold many flows.
const (
	streamWindow     = 16 << 10
	connectionWindow = 32 << 10
	packetSize       = 1200
)

const (
	handshakeTimeout = 5 * time.Second
	keepAlive        = 4 * time.Second
	idleTimeout      = 12 * time.Second
)

// dialer opens flows over UDP sockets that the flows share.
type dialer struct {
	tls        *tls.Config
	address    atomic.Pointer[net.UDPAddr]
	http       *http3.Transport
	transports []*quic.Transport
}

// flowsPerSocket is the number of flows that share a UDP socket.
const flowsPerSocket = 200

func newDialer(t *tls.Config, service netip.AddrPort, flows int) (*dialer, error) {
	d := &dialer{
		tls:  t.Clone(),
		http: &http3.Transport{DisableCompression: true},
	}
	d.address.Store(net.UDPAddrFromAddrPort(service))
	d.tls.NextProtos = []string{http3.NextProtoH3}
	for range flows/flowsPerSocket + 1 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			d.close()
			return nil, errors.Wrap(err, "caller")
		}
		d.transports = append(d.transports, &quic.Transport{Conn: conn})
	}
	return d, nil
}

func (d *dialer) close() {
	for _, t := range d.transports {
		_ = t.Close()
		_ = t.Conn.Close()
	}
}

func (d *dialer) dial(ctx context.Context, slot int) (*flow, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	watch := newGoAwayWatch()
	conn, err := d.transports[slot%len(d.transports)].Dial(ctx, d.address.Load(), d.tls, &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		InitialPacketSize:              packetSize,
		DisablePathMTUDiscovery:        true,
		Tracer:                         watch.tracer,
	})
	if err != nil {
		return nil, errors.Wrap(err, "open flow")
	}
	f := &flow{conn: conn, client: d.http.NewClientConn(conn), goAway: watch.received}
	watch.client.Store(f.client)
	return f, nil
}

// flow is one QUIC connection. Each request holds it from acquire to release.
type flow struct {
	conn   *quic.Conn
	client *http3.ClientConn
	goAway <-chan struct{}

	mu             sync.Mutex
	activeRequests int
	retired        bool // accepts no new requests; closes after the last active one
	closedLocally  bool // closed by closeIfUnused
}

// acquire holds the flow for a request; it returns false when the flow is retired
// or has ended.
func (f *flow) acquire() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retired || f.conn.Context().Err() != nil {
		return false
	}
	f.activeRequests++
	return true
}

func (f *flow) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeRequests--
	f.closeIfUnused()
}

// retire closes the flow after its last active request.
func (f *flow) retire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = true
	f.closeIfUnused()
}

func (f *flow) closeIfUnused() {
	if !f.retired || f.activeRequests > 0 || f.conn.Context().Err() != nil {
		return
	}
	f.closedLocally = true
	_ = f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// closeError returns the error that ended the flow, or nil when the caller closed
// it.
func (f *flow) closeError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closedLocally {
		return nil
	}
	cause := context.Cause(f.conn.Context())
	var appError *quic.ApplicationError
	if errors.As(cause, &appError) && !appError.Remote && appError.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError) {
		return nil
	}
	return cause
}
