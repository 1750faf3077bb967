package entry

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

const (
	// batchSize is the number of datagrams taken from a socket at once.
	batchSize = 32
	// datagramSize is the size of the largest datagram, in bytes.
	datagramSize = 1 << 16
)

// PacketConn is a UDP socket as the entry needs it at least.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// socket takes and sends batches of datagrams. The functions that it returns
// belong to one goroutine and one batch each.
type socket interface {
	// receiver returns a function that waits for datagrams, puts them into the
	// batch and returns their number. After interrupt it returns
	// net.ErrClosed.
	receiver(b *batch) func() (int, error)
	// sender returns a function that sends what the first n messages of the
	// batch have to send, and returns how many the system did not take.
	sender(b *batch) func(n int) (failed int)
	// interrupt ends all receivers.
	interrupt()
	// close frees the socket; no function of it may be in use.
	close()
}

// message is one datagram on its way through the entry.
type message struct {
	buffer []byte // room for headers, then what was received
	size   int    // bytes received
	out    []byte // part of buffer to send; nil when dropped
	to     netip.AddrPort
}

// batch holds the datagrams that are handled together.
type batch struct {
	headroom int
	messages [batchSize]message
}

// newBatch returns a batch whose messages have room in front of what is
// received.
func newBatch(headroom int) *batch {
	b := &batch{headroom: headroom}
	for i := range b.messages {
		b.messages[i].buffer = make([]byte, headroom+datagramSize)
	}
	return b
}

// transfer moves datagrams from one socket to the other as handle decides, until
// the first one is interrupted. Other errors of a datagram socket concern
// single datagrams and are counted.
func transfer(in, out socket, b *batch, c *counters, handle func(*message)) error {
	receive := in.receiver(b)
	send := out.sender(b)
	for {
		n, err := receive()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			c.readFailed()
			continue
		}
		for i := range b.messages[:n] {
			m := &b.messages[i]
			m.out = nil
			handle(m)
		}
		c.sendFailed(send(n))
	}
}

// singles is a socket that moves one datagram at a time.
type singles struct{ conn PacketConn }

func (s singles) receiver(b *batch) func() (int, error) {
	m := &b.messages[0]
	return func() (int, error) {
		n, _, err := s.conn.ReadFromUDPAddrPort(m.buffer[b.headroom:])
		m.size = n
		return 1, err
	}
}

func (s singles) sender(b *batch) func(n int) int {
	return func(n int) int {
		failed := 0
		for i := range b.messages[:n] {
			m := &b.messages[i]
			if m.out == nil {
				continue
			}
			if _, err := s.conn.WriteToUDPAddrPort(m.out, m.to); err != nil {
				failed++
			}
		}
		return failed
	}
}

func (s singles) interrupt() { _ = s.conn.Close() }

func (s singles) close() { _ = s.conn.Close() }
