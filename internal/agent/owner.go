package agent

import (
	"net"

	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

// ownership tells whose flow a packet belongs to.
type ownership uint8

const (
	ownerNone              ownership = iota // no owner token: first packets of a flow
	ownerSelf                               // this incarnation of this agent
	ownerFormerIncarnation                  // an earlier incarnation of this agent
	ownerOther                              // not for this agent
)

func (s *socket) ownerOf(v *sharedView, h *wire.Header, packet []byte) ownership {
	id, long := destinationID(packet)
	token, verdict := routing.ParseToken(v.ring, id)
	if verdict != routing.TokenValid {
		if long {
			return ownerNone
		}
		return ownerOther
	}
	if token.Agent != s.self || token.Service != h.Service {
		return ownerOther
	}
	if token.Incarnation != s.incarnation {
		return ownerFormerIncarnation
	}
	return ownerSelf
}

// reset tells a caller that its flow ended with an earlier incarnation of this
// agent. That one may have begun with any generation that is still known.
func (s *socket) sendReset(v *sharedView, h *wire.Header, packet []byte) {
	s.metrics.drop(dropFormerIncarnation)
	id, long := destinationID(packet)
	// A reset is shorter than what it answers, so that two ends can't answer
	// each other's resets for ever.
	size := min(maxResetSize, len(packet)-1)
	if long || size < minResetSize {
		return
	}
	for _, key := range v.ring.ResetKeys() {
		_, _ = s.WriteTo(statelessReset(key, id, size), net.UDPAddrFromAddrPort(h.Caller))
	}
}

// destinationID returns the destination connection ID of a QUIC packet when it
// has the size of an owner token, and whether the packet has a long header.
func destinationID(packet []byte) (id []byte, long bool) {
	const (
		longHeader  = 0x80
		shortOffset = 1
		longLength  = 5
	)
	if len(packet) == 0 {
		return nil, false
	}
	long = packet[0]&longHeader != 0
	start := shortOffset
	if long {
		start = longLength + 1
	}
	if len(packet) < start+routing.TokenSize {
		return nil, long
	}
	if long && packet[longLength] != routing.TokenSize {
		return nil, long
	}
	return packet[start : start+routing.TokenSize], long
}
