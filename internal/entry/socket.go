package entry

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

const (
	// socketBuffer is the size asked for each socket buffer, in bytes.
	socketBuffer = 4 << 20
	// datagramSize is the size of the largest datagram, in bytes.
	datagramSize = 1 << 16
)

// PacketConn is a UDP socket as the entry uses it.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

func listenUDP(a netip.AddrPort) (PacketConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// The system may grant less; that is no error.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}

// receive calls handle for each datagram, read behind the given headroom of
// the buffer, until the socket is closed. Other errors of a datagram socket
// concern one datagram and are counted.
func receive(c PacketConn, headroom int, failed func(), handle func(buffer []byte, size int)) error {
	buffer := make([]byte, headroom+datagramSize)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buffer[headroom:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			failed()
			continue
		}
		handle(buffer, n)
	}
}
