// Package flow implements the decisions about passed-through flows: where a new
// flow is placed, which entries store the owner of an open one, and what an agent
// admits to its upstream. It does no I/O; callers pass in the time.
package flow

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusnotch/internal/config"
)

// endpointSize is the encoded size of an IPv4 address and a port in bytes.
const endpointSize = 6

// Endpoint is an IPv4 address and a port in network byte order.
type Endpoint [endpointSize]byte

// EndpointOf converts an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint {
	var e Endpoint
	ip := a.Addr().Unmap().As4()
	copy(e[:], ip[:])
	binary.BigEndian.PutUint16(e[4:], a.Port())
	return e
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(e[:4])), binary.BigEndian.Uint16(e[4:]))
}

// Compare orders endpoints by address, then by port.
func (e Endpoint) Compare(other Endpoint) int { return bytes.Compare(e[:], other[:]) }

// IsZero reports whether the endpoint is unset.
func (e Endpoint) IsZero() bool { return e == Endpoint{} }

// String implements fmt.Stringer.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by the caller's endpoint, followed by the route's.
type Key [2 * endpointSize]byte

// KeyOf returns the key of the flow between a caller and a route's address.
func KeyOf(caller, route Endpoint) Key {
	var k Key
	copy(k[:], caller[:])
	copy(k[endpointSize:], route[:])
	return k
}

// Caller returns the caller's endpoint.
func (k Key) Caller() Endpoint { return Endpoint(k[:endpointSize]) }

// Route returns the route's endpoint.
func (k Key) Route() Endpoint { return Endpoint(k[endpointSize:]) }

// Compare orders keys by the caller's endpoint, then by the route's.
func (k Key) Compare(other Key) int { return bytes.Compare(k[:], other[:]) }

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 { return xxhash.Sum64(k[:]) }

// String returns the flow as logs show it, for example
// 100.64.0.7:40001>198.18.0.1:443.
func (k Key) String() string { return k.Caller().String() + ">" + k.Route().String() }

// Segment is the decoded header of one packet of a flow.
type Segment struct {
	Src, Dst Endpoint
	Seq, Ack uint32
	Data     int // bytes after the header

	Opening  bool // request to open a flow; Ack is the number of copies sent before
	Accepted bool // an upstream's acceptance of an opening packet
	Fin      bool
	Reset    bool
	Returned bool // sent back by the upstream, which does not hold the flow or does not accept it
}

// KeyFromCaller returns the flow key of a packet sent by a caller.
func (s *Segment) KeyFromCaller() Key { return KeyOf(s.Src, s.Dst) }

// KeyToCaller returns the flow key of a packet sent to a caller.
func (s *Segment) KeyToCaller() Key { return KeyOf(s.Dst, s.Src) }

// Purpose is the reason why an entry sends a packet to an agent.
type Purpose uint8

// Purposes of packets sent to agents.
const (
	PurposeOpen     Purpose = 1 // opens a new flow
	PurposeOpenBusy Purpose = 2 // opens a new flow that no other agent accepts: it waits, or being busy is no reason to refuse
	PurposeOwner    Purpose = 3 // belongs to a flow that the agent owns as far as the entry knows
	PurposeSearch   Purpose = 4 // belongs to a flow whose owner is unknown
	PurposeQuery    Purpose = 5 // header without data: queries whether the agent owns the flow
	// PurposeOwnerChecked is like PurposeOwner, but the agent returns the packet if it
	// acknowledges the acceptance of another upstream. Agents of earlier versions treat
	// it as PurposeOwner.
	PurposeOwnerChecked Purpose = 6
)

// Metadata is the information that an entry attaches to a packet for an agent.
type Metadata struct {
	Purpose Purpose
	Service uint32 // tag of the service that the configuration selects for the flow
	Class   Class  // of the route; only with an opening packet
}

// Class is what a route states about its requests. The zero value states nothing.
type Class struct {
	Stated       bool
	Priority     uint8  // 0 is the most urgent
	TargetMillis uint16 // time within which a request should be answered, 0 if none is stated
}

// Target returns the time within which a request should be answered, 0 if none is
// stated.
func (c Class) Target() time.Duration { return time.Duration(c.TargetMillis) * time.Millisecond }

// ClassOf returns the class of a route.
func ClassOf(r *config.Route) Class {
	return Class{Stated: true, Priority: uint8(r.Priority), TargetMillis: uint16(r.TargetMillis)}
}
