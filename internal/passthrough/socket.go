package passthrough

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

const (
	// datagramSize is the size of the buffer for one datagram in bytes; the largest
	// one is a packet of 1,236 bytes behind the header of a message.
	datagramSize = 2048
	// socketBuffer is the requested size of each receive buffer of the kernel in
	// bytes: a tenth of a second of full datagrams at 100 Mbit/s.
	socketBuffer = 1 << 20
	// tickPeriod is the resolution of search timeouts, load reports and expiry.
	tickPeriod = 25 * time.Millisecond
)

// PacketConn is a UDP socket.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

func (d *Deps) listen(a netip.AddrPort) (PacketConn, error) {
	if d.Listen != nil {
		return d.Listen(a)
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", a)
	}
	if err := c.SetReadBuffer(socketBuffer); err != nil {
		d.Log.Warn("socket buffer not set", "address", a.String(), "error", err.Error())
	}
	return c, nil
}

// receive passes datagrams to handle until the socket is closed.
func receive(c PacketConn, onError func(), handle func(from netip.AddrPort, b []byte)) error {
	b := make([]byte, datagramSize)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Errors of a datagram socket concern single datagrams.
			onError()
			continue
		}
		handle(from, b[:n])
	}
}

// every calls tick at each period until ctx is done.
func every(ctx context.Context, period time.Duration, tick func(now time.Time)) error {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			tick(now)
		}
	}
}
