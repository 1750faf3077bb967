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
	// socketBufferSize is the requested size of each socket buffer in bytes. The
	// kernel may grant less.
	socketBufferSize = 4 << 20
	// receiveTimeoutMicros limits a blocking receive call, after which a receiver
	// checks whether it was interrupted.
	receiveTimeoutMicros = 100_000
)

// blockingSocket is a UDP socket that does not use the runtime's network poller.
// Its receivers block in system calls, and it receives and sends datagrams in
// batches. The poller would wake a thread whenever a sent datagram leaves the
// send buffer.
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
	if err := s.configureAndBind(a); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *blockingSocket) configureAndBind(a netip.AddrPort) error {
	_ = unix.SetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferSize)
	_ = unix.SetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferSize)
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
		n, err := s.receive(headers)
		for i := range headers[:n] {
			b.messages[i].size = int(headers[i].Len)
		}
		return n, err
	}
}

// receive waits until at least one datagram is received.
func (s *blockingSocket) receive(headers []unix.Mmsghdr) (int, error) {
	for !s.interrupted.Load() {
		n, errno := s.batchSyscall(unix.SYS_RECVMMSG, headers, unix.MSG_WAITFORONE)
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

func (s *blockingSocket) batchSyscall(number uintptr, headers []unix.Mmsghdr, flags uintptr) (int, unix.Errno) {
	first := unsafe.Pointer(&headers[0])
	n, _, errno := unix.Syscall6(number, uintptr(s.fd), uintptr(first), uintptr(len(headers)), flags, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), 0
}

// sendArgs holds the arguments of sendmmsg for one batch.
type sendArgs struct {
	headers   [batchSize]unix.Mmsghdr
	vectors   [batchSize]unix.Iovec
	addresses [batchSize]unix.RawSockaddrInet6 // also large enough for IPv4 addresses
}

func (s *blockingSocket) sender(b *batch) func(n int) int {
	args := &sendArgs{}
	for i := range args.headers {
		h := &args.headers[i].Hdr
		h.Name = (*byte)(unsafe.Pointer(&args.addresses[i]))
		h.Iov = &args.vectors[i]
		h.SetIovlen(1)
	}
	return func(n int) int {
		count := 0
		for i := range b.messages[:n] {
			m := &b.messages[i]
			if m.out == nil {
				continue
			}
			args.set(count, m, s.ip6)
			count++
		}
		return s.sendAll(args.headers[:count])
	}
}

func (a *sendArgs) set(i int, m *message, ip6 bool) {
	a.vectors[i].Base = &m.out[0]
	a.vectors[i].SetLen(len(m.out))
	if ip6 {
		a.addresses[i].Family = unix.AF_INET6
		a.addresses[i].Addr = m.to.Addr().As16()
		putPort(&a.addresses[i].Port, m.to.Port())
		a.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet6
		return
	}
	ip4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(&a.addresses[i]))
	ip4.Family = unix.AF_INET
	ip4.Addr = m.to.Addr().As4()
	putPort(&ip4.Port, m.to.Port())
	a.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet4
}

// putPort writes the port in network byte order.
func putPort(field *uint16, port uint16) {
	binary.BigEndian.PutUint16((*[portSize]byte)(unsafe.Pointer(field))[:], port)
}

// sendAll sends the messages and returns how many could not be sent. An error of
// sendmmsg concerns the first remaining message, which is skipped.
func (s *blockingSocket) sendAll(headers []unix.Mmsghdr) (failed int) {
	for len(headers) > 0 {
		n, errno := s.batchSyscall(unix.SYS_SENDMMSG, headers, 0)
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
