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

// socketView is the state of the process that the socket depends on. It is
// immutable and replaced as a whole.
type socketView struct {
	ring            *keyring.Ring
	service         uint16 // 0 until an upstream has announced a configured service
	zone            uint8
	refusingFlows   bool                         // new flows are refused
	departedEntries map[netip.AddrPort]time.Time // and when they left
	liveEntries     []netip.AddrPort             // sorted
	acceptingPeers  map[netip.AddrPort]bool      // peer agents, and whether they accept new flows
}

// socket is the net.PacketConn below the QUIC transport. It receives datagrams
// from entries and peer agents, removes their header, and sends packets to a
// caller through the entry that forwarded the caller's last packet.
type socket struct {
	self netip.AddrPort
	// incarnation is the incarnation in the owner tokens of this process.
	incarnation  uint16
	conn         DatagramConn
	view         atomic.Pointer[socketView]
	paths        *pathTable
	handoffs     *handoffPolicy
	ownLoad      func() flowLoad
	peerLoad     func(netip.AddrPort, time.Time) (flowLoad, bool)
	onLoadReport func(from netip.AddrPort, datagram []byte)
	metrics      *socketMetrics

	readBuffer   []byte // owned by the reader
	writeBuffers sync.Pool
}

func newSocket(conn DatagramConn, self netip.AddrPort, incarnation uint16, m *socketMetrics) *socket {
	s := &socket{
		self:        self,
		incarnation: incarnation,
		conn:        conn,
		paths:       newPathTable(),
		handoffs:    newHandoffPolicy(self),
		metrics:     m,
		readBuffer:  make([]byte, datagramSize),
	}
	s.writeBuffers.New = func() any { return new([datagramSize]byte) }
	s.view.Store(&socketView{})
	return s
}

// ReadFrom returns the next QUIC packet for this agent and the address of the
// caller that sent it. It forwards, processes or drops all other datagrams.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(s.readBuffer)
		if err != nil {
			return 0, nil, err
		}
		h, payload, ok := s.receive(s.readBuffer[:n], unmap(from))
		if !ok {
			continue
		}
		return copy(p, payload), net.UDPAddrFromAddrPort(h.Caller), nil
	}
}

// receive verifies and processes a datagram; ok is true if its payload is for the
// QUIC transport.
func (s *socket) receive(b []byte, from netip.AddrPort) (h wire.Header, payload []byte, ok bool) {
	v := s.view.Load()
	if v.ring == nil {
		s.metrics.drop(dropNoKeys)
		return h, nil, false
	}
	h, verdict := wire.ParseHeader(v.ring, b)
	if verdict != wire.HeaderValid {
		s.metrics.drop(headerDropReason(verdict))
		return h, nil, false
	}
	payload = b[wire.HeaderSize:]
	switch h.Kind {
	case wire.KindToAgent:
		return h, payload, s.receivePacket(v, &h, b, payload)
	case wire.KindLoadReport:
		s.onLoadReport(from, b)
	default:
		s.metrics.drop(dropWrongKind)
	}
	return h, nil, false
}

func (s *socket) receivePacket(v *socketView, h *wire.Header, b, payload []byte) bool {
	if v.service != 0 && h.Service != v.service {
		s.metrics.drop(dropWrongService)
		return false
	}
	now := time.Now()
	owner := s.ownerOf(v, h, payload)
	if owner == ownerOther {
		s.metrics.drop(dropWrongOwner)
		return false
	}
	if owner == ownerNone && !s.acceptOrForward(now, v, h, b, payload) {
		return false
	}
	p := returnPath{entry: h.Entry, destination: h.Destination, lastSeen: now}
	if !s.paths.put(h.Caller, p, owner != ownerNone) {
		s.metrics.drop(dropPathsFull)
		return false
	}
	if owner == ownerFormerIncarnation {
		s.sendReset(v, h, payload)
		return false
	}
	s.metrics.packetsIn.Inc()
	return true
}

// acceptOrForward returns true if this agent accepts a packet without an owner
// token. Otherwise the packet was forwarded or dropped.
func (s *socket) acceptOrForward(now time.Time, v *socketView, h *wire.Header, b, payload []byte) bool {
	k, ok := newFlowKey(h.Caller, payload)
	if !ok {
		s.metrics.drop(dropMalformed)
		return false
	}
	state := handoffState{own: s.ownLoad()}
	state.refusing = v.refusingFlows || state.own.full()
	state.second, state.secondAccepts = s.peerLoad(h.SecondCandidate, now)
	state.secondAccepts = state.secondAccepts && v.acceptingPeers[h.SecondCandidate]
	to := s.handoffs.decide(now, k, h, state)
	if to == s.self || h.Hops >= wire.MaxHops {
		return true
	}
	s.forward(v, h, b, to)
	return false
}

// forward sends the datagram to another agent. It sets this agent as the second
// candidate unless this agent refuses new flows.
func (s *socket) forward(v *socketView, h *wire.Header, b []byte, to netip.AddrPort) {
	out := *h
	out.Hops++
	out.SecondCandidate = netip.AddrPort{}
	if !v.refusingFlows {
		out.SecondCandidate = s.self
	}
	wire.PutHeader(b, v.ring, &out)
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		s.metrics.drop(dropSendFailed)
		return
	}
	s.metrics.forwarded.Inc()
}

// WriteTo sends a QUIC packet to a caller through an entry.
func (s *socket) WriteTo(p []byte, addr net.Addr) (int, error) {
	u, ok := addr.(*net.UDPAddr)
	if !ok || len(p)+wire.HeaderSize > datagramSize {
		return 0, net.InvalidAddrError("the destination is not a UDP address, or the packet is too long")
	}
	caller := unmap(u.AddrPort())
	v := s.view.Load()
	path, ok := s.paths.get(caller)
	if !ok || v.ring == nil {
		// Treat it as packet loss: QUIC retransmits when the caller sends again.
		s.metrics.drop(dropNoPath)
		return len(p), nil
	}
	buf := s.writeBuffers.Get().(*[datagramSize]byte)
	defer s.writeBuffers.Put(buf)
	wire.PutHeader(buf[:], v.ring, &wire.Header{
		Kind:        wire.KindToCaller,
		Service:     v.service,
		Caller:      caller,
		Destination: path.destination,
		Entry:       path.entry,
	})
	n := copy(buf[wire.HeaderSize:], p)
	if _, err := s.conn.WriteToUDPAddrPort(buf[:wire.HeaderSize+n], v.entryFor(&path, caller)); err != nil {
		s.metrics.drop(dropSendFailed)
		return len(p), nil
	}
	s.metrics.packetsOut.Inc()
	return len(p), nil
}

// entryFor returns the entry for a packet to a caller: the entry of the return
// path or, if it has left the membership since the caller's last packet, another
// one.
func (v *socketView) entryFor(p *returnPath, caller netip.AddrPort) netip.AddrPort {
	departed, ok := v.departedEntries[p.entry]
	if !ok || p.lastSeen.After(departed) || len(v.liveEntries) == 0 {
		return p.entry
	}
	return v.liveEntries[hashAddr(caller)%uint64(len(v.liveEntries))]
}

// sendTo sends a datagram that includes its header.
func (s *socket) sendTo(b []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		s.metrics.drop(dropSendFailed)
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

// SetReadBuffer does nothing, because Network.ListenDatagrams sets the buffer
// sizes.
func (s *socket) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, like SetReadBuffer.
func (s *socket) SetWriteBuffer(int) error { return nil }

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
