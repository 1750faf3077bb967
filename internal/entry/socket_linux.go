package entry

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"unsafe"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// socketBuffer is the size asked for each socket buffer, in bytes. The
	// system may grant less.
	socketBuffer = 4 << 20
	// receiveTimeoutMicros bounds a wait in the system, after which a receiver looks
	// whether it was interrupted.
	receiveTimeoutMicros = 100_000
)

// blockingSocket is a UDP socket outside the runtime's poller. Its receivers
// wait in the system, and it moves datagrams in batches. The poller would wake
// a thread whenever a datagram that was sent leaves the send buffer.
type blockingSocket struct {
	fd          int
	ip6         bool
	interrupted atomic.Bool
}

func listenUDP(a netip.AddrPort) (socket, error) {
	s := &blockingSocket{ip6: !a.Addr().Unmap().Is4()}
	family := unix.AF_INET
	if s.ip6 {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(os.NewSyscallError("socket", err), "open UDP socket")
	}
	s.fd = fd
	if err := s.prepare(a); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *blockingSocket) prepare(a netip.AddrPort) error {
	_ = unix.SetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
	_ = unix.SetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
	timeout := unix.Timeval{Usec: receiveTimeoutMicros}
	if err := unix.SetsockoptTimeval(s.fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return errors.Wrap(os.NewSyscallError("setsockopt", err), "set receive timeout")
	}
	var address unix.Sockaddr = &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
	if !s.ip6 {
		address = &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().Unmap().As4()}
	}
	if err := unix.Bind(s.fd, address); err != nil {
		return errors.Wrapf(os.NewSyscallError("bind", err), "listen on %s", a)
	}
	return nil
}

func (s *blockingSocket) interrupt() { s.interrupted.Store(true) }

func (s *blockingSocket) close() { _ = unix.Close(s.fd) }

func (s *blockingSocket) receiver(b *batch) func() (int, error) {
	headers := make([]unix.Mmsghdr, batchSize)
	vectors := make([]unix.Iovec, batchSize)
	for i := range headers {
		buffer := b.messages[i].buffer[b.headroom:]
		vectors[i].Base = &buffer[0]
		vectors[i].SetLen(len(buffer))
		headers[i].Hdr.Iov = &vectors[i]
		headers[i].Hdr.SetIovlen(1)
	}
	return func() (int, error) {
		n, err := s.wait(headers)
		for i := range headers[:n] {
			b.messages[i].size = int(headers[i].Len)
		}
		return n, err
	}
}

// wait receives at least one datagram.
func (s *blockingSocket) wait(headers []unix.Mmsghdr) (int, error) {
	for !s.interrupted.Load() {
		n, errno := s.call(unix.SYS_RECVMMSG, headers, unix.MSG_WAITFORONE)
		switch errno {
		case 0:
			return n, nil
		case unix.EAGAIN, unix.EINTR:
		default:
			return 0, os.NewSyscallError("recvmmsg", errno)
		}
	}
	return 0, net.ErrClosed
}

func (s *blockingSocket) call(number uintptr, headers []unix.Mmsghdr, flags uintptr) (int, unix.Errno) {
	first := unsafe.Pointer(&headers[0])
	n, _, errno := unix.Syscall6(number, uintptr(s.fd), uintptr(first), uintptr(len(headers)), flags, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), 0
}

// outgoing is the form of a batch that the system sends.
type outgoing struct {
	headers   [batchSize]unix.Mmsghdr
	vectors   [batchSize]unix.Iovec
	addresses [batchSize]unix.RawSockaddrInet6 // holds IPv4 addresses too
}

func (s *blockingSocket) sender(b *batch) func(n int) int {
	out := &outgoing{}
	for i := range out.headers {
		h := &out.headers[i].Hdr
		h.Name = (*byte)(unsafe.Pointer(&out.addresses[i]))
		h.Iov = &out.vectors[i]
		h.SetIovlen(1)
	}
	return func(n int) int {
		count := 0
		for i := range b.messages[:n] {
			m := &b.messages[i]
			if m.out == nil {
				continue
			}
			out.set(count, m, s.ip6)
			count++
		}
		return s.sendAll(out.headers[:count])
	}
}

func (o *outgoing) set(i int, m *message, ip6 bool) {
	o.vectors[i].Base = &m.out[0]
	o.vectors[i].SetLen(len(m.out))
	if ip6 {
		o.addresses[i].Family = unix.AF_INET6
		o.addresses[i].Addr = m.to.Addr().As16()
		putPort(&o.addresses[i].Port, m.to.Port())
		o.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet6
		return
	}
	a := (*unix.RawSockaddrInet4)(unsafe.Pointer(&o.addresses[i]))
	a.Family = unix.AF_INET
	a.Addr = m.to.Addr().As4()
	putPort(&a.Port, m.to.Port())
	o.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet4
}

// putPort writes the port in the order of the network.
func putPort(field *uint16, port uint16) {
	binary.BigEndian.PutUint16((*[portSize]byte)(unsafe.Pointer(field))[:], port)
}

// sendAll sends the messages and returns how many the system did not take. An
// error concerns the first message that is left.
func (s *blockingSocket) sendAll(headers []unix.Mmsghdr) (failed int) {
	for len(headers) > 0 {
		n, errno := s.call(unix.SYS_SENDMMSG, headers, 0)
		switch errno {
		case 0:
			headers = headers[n:]
		case unix.EINTR:
		default:
			failed++
			headers = headers[1:]
		}
	}
	return failed
}
