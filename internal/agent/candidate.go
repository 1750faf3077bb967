package agent

import (
	"net/netip"
	"time"

	"crocusnotch/internal/wire"
)

const (
	// huntMemory is how long the decision on a flow's first packets is kept at
	// least. It covers the repeats of a handshake.
	minDecisionAge = 10 * time.Second
	// maxHuntMemory bounds the decisions of one period.
	maxDecisions = 1 << 16
	// initialIDSize is the longest connection ID in bytes.
	maxConnectionIDSize = 20
)

// flowKey identifies a flow before it has an owner token: the caller's address
// and the connection ID that the caller chose.
type flowKey struct {
	caller netip.AddrPort
	id     [maxConnectionIDSize]byte
}

// newFlowKey returns the key of a packet; ok is false when it is not a QUIC
// packet with a long header.
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

// flowLoad is an agent's flows in relation to what its upstream bears.
type flowLoad struct {
	flows       int
	connections int
}

// above reports whether l is more loaded than other, by share of the
// connections.
func (l flowLoad) higherThan(other flowLoad) bool {
	return l.flows*other.connections > other.flows*l.connections
}

// full reports whether no flow more is borne.
func (l flowLoad) full() bool { return l.flows >= l.connections }

// huntView is what is known when a first packet arrives.
type candidateState struct {
	refusing      bool // new flows are not taken here
	own           flowLoad
	second        flowLoad // of candidate 2
	secondAccepts bool     // candidate 2 is known and takes flows
}

// hunter decides whether the first packets of a flow are kept or handed on to
// candidate 2. It has one owner.
type candidateChooser struct {
	self      netip.AddrPort
	current   map[flowKey]netip.AddrPort // self when kept
	previous  map[flowKey]netip.AddrPort
	rotatedAt time.Time
}

func newCandidateChooser(self netip.AddrPort) *candidateChooser {
	return &candidateChooser{self: self, current: map[flowKey]netip.AddrPort{}}
}

// recall returns the earlier decision on the flow.
func (c *candidateChooser) earlierDecision(k flowKey) (netip.AddrPort, bool) {
	if to, ok := c.current[k]; ok {
		return to, true
	}
	to, ok := c.previous[k]
	return to, ok
}

// decide returns where the packet goes: self keeps it.
func (c *candidateChooser) decide(now time.Time, k flowKey, h *wire.Header, state candidateState) netip.AddrPort {
	c.rotate(now)
	if to, ok := c.earlierDecision(k); ok {
		return to
	}
	to := c.self
	if c.shouldForward(h, state) {
		to = h.Second
	}
	c.current[k] = to
	return to
}

func (c *candidateChooser) shouldForward(h *wire.Header, state candidateState) bool {
	if h.Hops >= wire.MaxHandoffs || !h.Second.IsValid() || h.Second == c.self {
		return false
	}
	if state.refusing {
		return true
	}
	return state.secondAccepts && state.own.higherThan(state.second)
}

func (c *candidateChooser) rotate(now time.Time) {
	if now.Sub(c.rotatedAt) < minDecisionAge && len(c.current) < maxDecisions {
		return
	}
	c.previous = c.current
	c.current = map[flowKey]netip.AddrPort{}
	c.rotatedAt = now
}
