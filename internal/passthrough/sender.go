package passthrough

import (
	"net/netip"

	"crocusnotch/internal/flow"
	"crocusnotch/internal/keyring"
)

// sender sends datagrams of an entry or an agent. It is not safe for concurrent use.
type sender struct {
	codec      Codec
	keys       *keyring.Ring
	counters   *counters
	callerPort uint16     // UDP port of callers to which answers are sent
	data       PacketConn // to other instances
	scratch    []byte
}

// SendMessage sends a message to an entry or an agent.
func (s *sender) SendMessage(to flow.Endpoint, m *Message) {
	s.scratch = m.Append(s.scratch[:0], s.keys)
	s.send(s.data, s.scratch, to.AddrPort())
}

// sendReset resets a flow at its caller by a packet from the socket.
func (s *sender) sendReset(from PacketConn, k flow.Key, seq uint32) {
	s.scratch = s.codec.AppendReset(s.scratch[:0], k, seq)
	s.send(from, s.scratch, s.callerAddr(k))
}

func (s *sender) callerAddr(k flow.Key) netip.AddrPort {
	return netip.AddrPortFrom(k.Caller().AddrPort().Addr(), s.callerPort)
}

func (s *sender) send(c PacketConn, b []byte, to netip.AddrPort) {
	if _, err := c.WriteToUDPAddrPort(b, to); err != nil {
		s.counters.countDropped(dropSend)
	}
}
