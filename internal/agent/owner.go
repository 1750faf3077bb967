package agent

import (
	"net"

	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

// ownership classifies a packet by the agent that owns its flow.
type ownership uint8

const (
	ownerNone              ownership = iota // no owner token: one of the first packets of a flow
	ownerSelf                               // this incarnation of this agent
	ownerFormerIncarnation                  // an earlier incarnation of this agent
	ownerOther                              // another agent, or an invalid owner token
)

func (s *socket) ownerOf(v *socketView, h *wire.Header, packet []byte) ownership {
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

// sendReset sends a caller stateless resets for a flow that ended with an earlier
// incarnation of this agent. That incarnation may have started with any key
// generation that is still known, so one reset is sent for each.
func (s *socket) sendReset(v *socketView, h *wire.Header, packet []byte) {
	s.metrics.drop(dropFormerIncarnation)
	id, long := destinationID(packet)
	// A reset is shorter than the packet that causes it, so that two endpoints
	// can't reset each other's resets forever.
	size := min(maxResetSize, len(packet)-1)
	if long || size < minResetSize {
		return
	}
	for _, key := range v.ring.ResetKeys() {
		_, _ = s.WriteTo(statelessReset(key, id, size), net.UDPAddrFromAddrPort(h.Caller))
	}
}

// destinationID returns the destination connection ID of a QUIC packet if it has
// the size of an owner token, and whether the packet has a long header.
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
