package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/wire"
)

// datagramSize is the longest datagram with its header, in bytes.
const datagramSize = 2048

// sharedView is what the socket needs to know of the rest of the process. It
// is immutable and replaced as a whole.
type sharedView struct {
	ring      *keyring.Ring
	service   uint16 // 0 until an upstream announced one that is configured
	zone      uint8
	refusing  bool                         // new flows are not taken
	goneEntry map[netip.AddrPort]time.Time // since when
	entries   []netip.AddrPort             // live ones
	takes     map[netip.AddrPort]bool      // peer agents, and whether they take new flows
}

// socket is the net.PacketConn below the QUIC transport. It takes datagrams
// from entries and peer agents, strips their header, and sends answers back
// through the entry that last brought a packet of the caller.
type socket struct {
	self netip.AddrPort
	// incarnation is what the owner tokens of this process carry.
	incarnation uint16
	conn        DatagramConn
	view        atomic.Pointer[sharedView]
	paths       *pathTable
	hunter      *hunter
	load        func() flowLoad
	peer        func(netip.AddrPort, time.Time) (flowLoad, bool)
	report      func(from netip.AddrPort, datagram []byte)
	metrics     *socketMetrics

	read  []byte // owned by the reader
	write sync.Pool
}

func newSocket(conn DatagramConn, self netip.AddrPort, incarnation uint16, m *socketMetrics) *socket {
	s := &socket{
		self:        self,
		incarnation: incarnation,
		conn:        conn,
		paths:       newPathTable(),
		hunter:      newHunter(self),
		metrics:     m,
		read:        make([]byte, datagramSize),
	}
	s.write.New = func() any { return new([datagramSize]byte) }
	s.view.Store(&sharedView{})
	return s
}

// ReadFrom returns the next QUIC packet for this agent and the address of the
// caller that sent it. Datagrams for others are handed on meanwhile.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(s.read)
		if err != nil {
			return 0, nil, err
		}
		h, payload, ok := s.accept(s.read[:n], unmap(from))
		if !ok {
			continue
		}
		return copy(p, payload), net.UDPAddrFromAddrPort(h.Caller), nil
	}
}

// accept checks a datagram and does what is to be done with it; ok is true
// when its payload is for the QUIC transport.
func (s *socket) accept(b []byte, from netip.AddrPort) (h wire.Header, payload []byte, ok bool) {
	v := s.view.Load()
	if v.ring == nil {
		s.metrics.drop(dropNoKeys)
		return h, nil, false
	}
	h, verdict := wire.ParseHeader(v.ring, b)
	if verdict != wire.HeaderValid {
		s.metrics.drop(headerDrop(verdict))
		return h, nil, false
	}
	payload = b[wire.HeaderSize:]
	switch h.Kind {
	case wire.KindToAgent:
		return h, payload, s.acceptPacket(v, &h, b, payload)
	case wire.KindLoadReport:
		s.report(from, b)
	default:
		s.metrics.drop(dropKind)
	}
	return h, nil, false
}

func (s *socket) acceptPacket(v *sharedView, h *wire.Header, b, payload []byte) bool {
	if v.service != 0 && h.Service != v.service {
		s.metrics.drop(dropService)
		return false
	}
	now := time.Now()
	owner := s.ownerOf(v, h, payload)
	if owner == ownerOther {
		s.metrics.drop(dropOwner)
		return false
	}
	if owner == ownerNone && !s.keep(now, v, h, b, payload) {
		return false
	}
	p := path{entry: h.Entry, destination: h.Destination, seen: now}
	if !s.paths.put(h.Caller, p, owner != ownerNone) {
		s.metrics.drop(dropPaths)
		return false
	}
	if owner == ownerFormer {
		s.reset(v, h, payload)
		return false
	}
	s.metrics.packetsIn.Inc()
	return true
}

// keep reports whether a packet without an owner stays here; otherwise it was
// handed on or dropped.
func (s *socket) keep(now time.Time, v *sharedView, h *wire.Header, b, payload []byte) bool {
	k, ok := newFlowKey(h.Caller, payload)
	if !ok {
		s.metrics.drop(dropMalformed)
		return false
	}
	view := huntView{own: s.load()}
	view.refusing = v.refusing || view.own.full()
	view.second, view.secondOK = s.peer(h.SecondCandidate, now)
	view.secondOK = view.secondOK && v.takes[h.SecondCandidate]
	to := s.hunter.decide(now, k, h, view)
	if to == s.self || h.Hops >= wire.MaxHops {
		return true
	}
	s.handOn(v, h, b, to)
	return false
}

// handOn sends the datagram to another agent. The sender stays the other
// candidate as long as it takes flows itself.
func (s *socket) handOn(v *sharedView, h *wire.Header, b []byte, to netip.AddrPort) {
	out := *h
	out.Hops++
	out.SecondCandidate = netip.AddrPort{}
	if !v.refusing {
		out.SecondCandidate = s.self
	}
	wire.PutHeader(b, v.ring, &out)
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		s.metrics.drop(dropSend)
		return
	}
	s.metrics.handedOn.Inc()
}

// WriteTo sends a QUIC packet to a caller through an entry.
func (s *socket) WriteTo(p []byte, addr net.Addr) (int, error) {
	u, ok := addr.(*net.UDPAddr)
	if !ok || len(p)+wire.HeaderSize > datagramSize {
		return 0, net.InvalidAddrError("not a caller's address")
	}
	caller := unmap(u.AddrPort())
	v := s.view.Load()
	where, ok := s.paths.get(caller)
	if !ok || v.ring == nil {
		// Lost like any datagram: QUIC repeats it when the caller comes back.
		s.metrics.drop(dropNoPath)
		return len(p), nil
	}
	buf := s.write.Get().(*[datagramSize]byte)
	defer s.write.Put(buf)
	wire.PutHeader(buf[:], v.ring, &wire.Header{
		Kind:        wire.KindToCaller,
		Service:     v.service,
		Caller:      caller,
		Destination: where.destination,
		Entry:       where.entry,
	})
	n := copy(buf[wire.HeaderSize:], p)
	if _, err := s.conn.WriteToUDPAddrPort(buf[:wire.HeaderSize+n], v.entryFor(&where, caller)); err != nil {
		s.metrics.drop(dropSend)
		return len(p), nil
	}
	s.metrics.packetsOut.Inc()
	return len(p), nil
}

// entryFor returns the entry for an answer: the last one used, or another live
// one when that is gone since.
func (v *sharedView) entryFor(p *path, caller netip.AddrPort) netip.AddrPort {
	gone, ok := v.goneEntry[p.entry]
	if !ok || p.seen.After(gone) || len(v.entries) == 0 {
		return p.entry
	}
	return v.entries[hashAddr(caller)%uint64(len(v.entries))]
}

// sendTo sends a datagram that is complete with its header.
func (s *socket) sendTo(b []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		s.metrics.drop(dropSend)
	}
}

// Close implements net.PacketConn.
func (s *socket) Close() error { return s.conn.Close() }

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.self) }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetDeadline implements net.PacketConn; writes never block for long.
func (s *socket) SetDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn; writes never block for long.
func (s *socket) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing: the network sized the buffers when it opened the
// socket.
func (s *socket) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, like SetReadBuffer.
func (s *socket) SetWriteBuffer(int) error { return nil }

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
