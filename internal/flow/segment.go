// Package flow holds the decisions about passed-through flows: which upstream
// takes a new flow, where the owner of an open one is found, and what an agent
// admits to its upstream. It does no I/O; time is passed in.
package flow

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// endSize is the length of an IPv4 address and a port in bytes.
const endSize = 6

// Endpoint is an IPv4 address and a port, in network order.
type Endpoint [endSize]byte

// EndpointOf converts an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint {
	var e Endpoint
	ip := a.Addr().Unmap().As4()
	copy(e[:], ip[:])
	binary.BigEndian.PutUint16(e[4:], a.Port())
	return e
}

// AddrPort converts back.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(e[:4])), binary.BigEndian.Uint16(e[4:]))
}

// Compare orders ends by address, then by port.
func (e Endpoint) Compare(other Endpoint) int { return bytes.Compare(e[:], other[:]) }

// IsZero reports whether the end is not set.
func (e Endpoint) IsZero() bool { return e == Endpoint{} }

// String implements fmt.Stringer.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow: the caller's end, then the route's.
type Key [2 * endSize]byte

// KeyOf returns the key of the flow between a caller and a route's address.
func KeyOf(caller, route Endpoint) Key {
	var k Key
	copy(k[:], caller[:])
	copy(k[endSize:], route[:])
	return k
}

// Caller returns the caller's end.
func (k Key) Caller() Endpoint { return Endpoint(k[:endSize]) }

// Route returns the route's end.
func (k Key) Route() Endpoint { return Endpoint(k[endSize:]) }

// Hash condenses the key.
func (k Key) Hash() uint64 { return xxhash.Sum64(k[:]) }

// String names the flow in logs.
func (k Key) String() string { return k.Caller().String() + ">" + k.Route().String() }

// Segment is the header of one packet of a flow.
type Segment struct {
	Src, Dst Endpoint
	Seq, Ack uint32
	Data     int // bytes behind the header

	Opening  bool // asks to open a flow; Ack counts the copies sent before
	Accepted bool // an upstream's consent to open
	Fin      bool
	Reset    bool
	Returned bool // returned by the upstream, which does not hold the flow
}

// KeyFromCaller returns the key of a packet that a caller sent.
func (s *Segment) KeyFromCaller() Key { return KeyOf(s.Src, s.Dst) }

// KeyToCaller returns the key of a packet that an upstream sent.
func (s *Segment) KeyToCaller() Key { return KeyOf(s.Dst, s.Src) }

// Purpose tells an agent why an entry hands it a packet.
type Purpose uint8

// Purposes of a packet on its way to an agent.
const (
	PurposeOpen     Purpose = 1 // offers a new flow
	PurposeOpenBusy Purpose = 2 // offers a new flow that nobody else takes: being busy is no reason to refuse
	PurposeOwner    Purpose = 3 // belongs to a flow that the agent is known to own
	PurposeSearch   Purpose = 4 // belongs to a flow whose owner is searched for
	PurposeQuery    Purpose = 5 // a header alone: asks whether the agent owns the flow
)

// Metadata is what an entry tells an agent with a packet.
type Metadata struct {
	Purpose Purpose
	Service uint32 // tag of the service that the configuration names for the flow
}
