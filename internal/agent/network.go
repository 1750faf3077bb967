package agent

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// socketBuffer is the requested size of the data socket's kernel buffers, in
// bytes.
const socketBuffer = 4 << 20

// DatagramConn is the data socket below the QUIC transport; *net.UDPConn
// implements it.
type DatagramConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	SetReadDeadline(t time.Time) error
	LocalAddr() net.Addr
	Close() error
}

// Network opens sockets. Tests use an in-memory implementation.
type Network interface {
	ListenDatagrams(addr netip.AddrPort) (DatagramConn, error)
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

type hostNetwork struct{ dialer net.Dialer }

func (h *hostNetwork) ListenDatagrams(addr netip.AddrPort) (DatagramConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "open data socket")
	}
	// The kernel may grant less; the socket works with any size.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}

func (h *hostNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return l, nil
}

func (h *hostNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return h.dialer.DialContext(ctx, "tcp", addr)
}
