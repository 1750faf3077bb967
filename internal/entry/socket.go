package entry

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

const (
	// batchSize is the maximum number of datagrams per system call.
	batchSize = 32
	// maxDatagramSize is the maximum length of a datagram in bytes.
	maxDatagramSize = 1 << 16
)

// PacketConn is the part of *net.UDPConn that the entry uses.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// socket receives and sends batches of datagrams. Each function that receiver or
// sender returns works on the given batch and must be called by one goroutine
// only.
type socket interface {
	// receiver returns a function that waits for datagrams, stores them in the
	// batch and returns their number. After interrupt it returns
	// net.ErrClosed.
	receiver(b *batch) func() (int, error)
	// sender returns a function that sends the first n messages of the batch,
	// except dropped ones, and returns how many could not be sent.
	sender(b *batch) func(n int) (failed int)
	// interrupt unblocks all receivers.
	interrupt()
	// close closes the socket; none of its functions may be in use.
	close()
}

// message is one datagram that the entry forwards.
type message struct {
	buffer []byte // headroom, then the received datagram
	size   int    // bytes received
	out    []byte // part of buffer to send; nil when dropped
	to     netip.AddrPort
}

// batch holds the datagrams that are received and sent together.
type batch struct {
	headroom int
	messages [batchSize]message
}

// newBatch returns a batch whose messages have headroom, in bytes, in front of
// the received datagram.
func newBatch(headroom int) *batch {
	b := &batch{headroom: headroom}
	for i := range b.messages {
		b.messages[i].buffer = make([]byte, headroom+maxDatagramSize)
	}
	return b
}

// transfer receives datagrams from in and sends them to out as set by handle,
// until in is interrupted. Other receive errors concern single datagrams and are
// counted.
func transfer(in, out socket, b *batch, c *counters, handle func(*message)) error {
	receive := in.receiver(b)
	send := out.sender(b)
	for {
		n, err := receive()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			c.countReadFailure()
			continue
		}
		for i := range b.messages[:n] {
			m := &b.messages[i]
			m.out = nil
			handle(m)
		}
		c.countSendFailures(send(n))
	}
}

// unbatchedSocket receives and sends one datagram at a time.
type unbatchedSocket struct{ conn PacketConn }

func (s unbatchedSocket) receiver(b *batch) func() (int, error) {
	m := &b.messages[0]
	return func() (int, error) {
		n, _, err := s.conn.ReadFromUDPAddrPort(m.buffer[b.headroom:])
		m.size = n
		return 1, err
	}
}

func (s unbatchedSocket) sender(b *batch) func(n int) int {
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

func (s unbatchedSocket) interrupt() { _ = s.conn.Close() }

func (s unbatchedSocket) close() { _ = s.conn.Close() }
