package memnet

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

type datagram struct {
	data []byte
	from netip.AddrPort
}

// Socket is a datagram socket. It implements net.PacketConn and has the
// methods of net.UDPConn for netip addresses.
type Socket struct {
	net    *Network
	addr   netip.AddrPort
	inbox  chan datagram
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	deadline chan struct{} // closed when the read deadline has passed
	timer    *time.Timer
}

// Socket opens a socket. It replaces one with the same address.
func (n *Network) Socket(a netip.AddrPort) *Socket {
	s := &Socket{
		net: n, addr: a, inbox: make(chan datagram, inboxSize),
		closed: make(chan struct{}), deadline: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sockets[a] = s
	return s
}

// Address returns the socket's address.
func (s *Socket) Address() netip.AddrPort { return s.addr }

// ReadFromUDPAddrPort blocks until a datagram, the read deadline or Close.
func (s *Socket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	s.mu.Lock()
	deadline := s.deadline
	s.mu.Unlock()
	select {
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	case <-deadline:
		return 0, netip.AddrPort{}, os.ErrDeadlineExceeded
	case d := <-s.inbox:
		return copy(b, d.data), d.from, nil
	}
}

// WriteToUDPAddrPort sends a datagram.
func (s *Socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	default:
	}
	s.net.Deliver(b, s.addr, to)
	return len(b), nil
}

// ReadFrom implements net.PacketConn.
func (s *Socket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := s.ReadFromUDPAddrPort(b)
	if err != nil {
		return 0, nil, err
	}
	return n, net.UDPAddrFromAddrPort(from), nil
}

// WriteTo implements net.PacketConn for *net.UDPAddr.
func (s *Socket) WriteTo(b []byte, to net.Addr) (int, error) {
	return s.WriteToUDPAddrPort(b, to.(*net.UDPAddr).AddrPort())
}

// SetReadDeadline implements net.PacketConn.
func (s *Socket) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	select {
	case <-s.deadline:
		s.deadline = make(chan struct{})
	default:
	}
	passed := s.deadline
	switch {
	case t.IsZero():
	case !t.After(time.Now()):
		close(passed)
	default:
		s.timer = time.AfterFunc(time.Until(t), func() { close(passed) })
	}
	return nil
}

// SetDeadline implements net.PacketConn; writes never block.
func (s *Socket) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn; writes never block.
func (s *Socket) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing. It exists for quic-go, which requests larger
// buffers.
func (s *Socket) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing. It exists for quic-go, like SetReadBuffer.
func (s *Socket) SetWriteBuffer(int) error { return nil }

// LocalAddr implements net.PacketConn.
func (s *Socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.addr) }

// Close implements net.PacketConn.
func (s *Socket) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.net.mu.Lock()
		defer s.net.mu.Unlock()
		if s.net.sockets[s.addr] == s {
			delete(s.net.sockets, s.addr)
		}
	})
	return nil
}
