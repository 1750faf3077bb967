package entry

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Sockets of the operating system must send and receive datagrams without
// allocating, and count a datagram that could not be sent.
func TestBlockingSocket(t *testing.T) {
	is := is.New(t)
	const count = 5
	first, err := listenUDP(netip.MustParseAddrPort("127.21.1.1:0"))
	is.NoErr(err)
	second, err := listenUDP(netip.MustParseAddrPort("127.21.1.2:0"))
	is.NoErr(err)
	name, err := unix.Getsockname(second.(*blockingSocket).fd)
	is.NoErr(err)
	to := netip.AddrPortFrom(netip.MustParseAddr("127.21.1.2"), uint16(name.(*unix.SockaddrInet4).Port))
	_, err = listenUDP(to)
	is.True(err != nil) // the address is in use
	out, in := newBatch(0), newBatch(0)
	for i := range count {
		m := &out.messages[i]
		m.out = m.buffer[:copy(m.buffer, fmt.Sprint("datagram ", i))]
		m.to = to
	}
	out.messages[1].out = nil                             // dropped
	out.messages[2].to = netip.AddrPortFrom(to.Addr(), 0) // rejected by the kernel
	send, receive := first.sender(out), second.receiver(in)
	is.Equal(send(count), 1)
	var got []string
	for len(got) < count-2 {
		n, err := receive()
		is.NoErr(err)
		for _, m := range in.messages[:n] {
			got = append(got, string(m.buffer[:m.size]))
		}
	}
	is.Equal(got, []string{"datagram 0", "datagram 3", "datagram 4"})
	out.messages[2].out = nil
	is.Equal(testing.AllocsPerRun(20, func() {
		send(count)
		for n := 0; n < count-2; {
			k, _ := receive()
			n += k
		}
	}), 0.0)
	second.interrupt()
	_, err = receive()
	is.True(errors.Is(err, net.ErrClosed))
	first.close()
	second.close()
}
