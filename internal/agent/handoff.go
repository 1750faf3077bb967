package agent

import (
	"net/netip"
	"time"

	"crocusnotch/internal/wire"
)

const (
	// minDecisionRetention is how long the decision on a flow's first packets is kept
	// at least, unless maxDecisions is exceeded. It covers the retransmissions
	// of a handshake.
	minDecisionRetention = 10 * time.Second
	// maxDecisions bounds the decisions of one period.
	maxDecisions = 1 << 16
	// maxConnectionIDSize is the longest connection ID in bytes.
	maxConnectionIDSize = 20
)

// flowKey identifies a flow before it has an owner token: the caller's address
// and the connection ID that the caller chose.
type flowKey struct {
	caller netip.AddrPort
	id     [maxConnectionIDSize]byte
}

// newFlowKey returns the key of a packet; ok is false if it is not a QUIC packet
// with a long header.
func newFlowKey(caller netip.AddrPort, packet []byte) (flowKey, bool) {
	const (
		longHeader = 0x80
		idLength   = 5
	)
	if len(packet) <= idLength || packet[0]&longHeader == 0 {
		return flowKey{}, false
	}
	id := packet[idLength+1:]
	n := int(packet[idLength])
	if n > maxConnectionIDSize || n > len(id) {
		return flowKey{}, false
	}
	k := flowKey{caller: caller}
	copy(k.id[:], id[:n])
	return k, true
}

// flowLoad is an agent's number of flows and the connection limit of its upstream.
type flowLoad struct {
	flows       int
	connections int
}

// higherThan reports whether l uses a larger share of its connections than other.
func (l flowLoad) higherThan(other flowLoad) bool {
	return l.flows*other.connections > other.flows*l.connections
}

// full reports whether the connection limit is reached.
func (l flowLoad) full() bool { return l.flows >= l.connections }

// handoffState is the input for the decision on a first packet.
type handoffState struct {
	refusing      bool // this agent accepts no new flows
	own           flowLoad
	second        flowLoad // of the second candidate
	secondAccepts bool     // the second candidate's load is known and it accepts flows
}

// handoffPolicy decides whether this agent accepts the first packets of a flow
// or forwards them to the second candidate. It is not safe for concurrent use.
type handoffPolicy struct {
	self      netip.AddrPort
	current   map[flowKey]netip.AddrPort // self if accepted
	previous  map[flowKey]netip.AddrPort
	rotatedAt time.Time
}

func newHandoffPolicy(self netip.AddrPort) *handoffPolicy {
	return &handoffPolicy{self: self, current: map[flowKey]netip.AddrPort{}}
}

// earlierDecision returns the recorded decision on the flow.
func (h *handoffPolicy) earlierDecision(k flowKey) (netip.AddrPort, bool) {
	if to, ok := h.current[k]; ok {
		return to, true
	}
	to, ok := h.previous[k]
	return to, ok
}

// decide returns the agent for the packet, self if this agent accepts it. All
// first packets of a flow get the same decision.
func (h *handoffPolicy) decide(now time.Time, k flowKey, d *wire.Header, state handoffState) netip.AddrPort {
	h.rotate(now)
	if to, ok := h.earlierDecision(k); ok {
		return to
	}
	to := h.self
	if h.shouldHandOff(d, state) {
		to = d.SecondCandidate
	}
	h.current[k] = to
	return to
}

func (h *handoffPolicy) shouldHandOff(d *wire.Header, state handoffState) bool {
	if d.Hops >= wire.MaxHops || !d.SecondCandidate.IsValid() || d.SecondCandidate == h.self {
		return false
	}
	if state.refusing {
		return true
	}
	return state.secondAccepts && state.own.higherThan(state.second)
}

func (h *handoffPolicy) rotate(now time.Time) {
	if now.Sub(h.rotatedAt) < minDecisionRetention && len(h.current) < maxDecisions {
		return
	}
	h.previous = h.current
	h.current = map[flowKey]netip.AddrPort{}
	h.rotatedAt = now
}
