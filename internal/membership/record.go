// Package membership maintains the records of the fleet's processes and its
// configuration objects, and merges those received from others. It does no I/O
// and starts no goroutine.
package membership

import "net/netip"

// Role is the kind of a process.
type Role uint8

// Roles of members.
const (
	RoleEntry Role = 1
	RoleAgent Role = 2
)

// State is the lifecycle state of a member.
type State uint8

// States of members. Between records of the same incarnation and version the
// higher state wins.
const (
	StateReady    State = 1
	StateCold     State = 2 // agent: its upstream is in cold start
	StateDraining State = 3 // no new flows and no new work
	StateSuspect  State = 4 // did not answer probes; may be refuted
	StateLeft     State = 5 // announced that it stops; final for the incarnation
	StateDead     State = 6 // declared by other members; final for the incarnation
)

// Record describes one process. Only the process itself writes it, except for
// StateSuspect and StateDead, which other members set. A record is identified
// by its data address.
type Record struct {
	Addr        netip.AddrPort `cbor:"1,keyasint"`          // IPv4 data address, UDP
	Control     netip.AddrPort `cbor:"2,keyasint"`          // UDP membership and TCP jsonrpc2
	Relay       netip.AddrPort `cbor:"3,keyasint,omitzero"` // agent: TCP relay address
	Role        Role           `cbor:"4,keyasint"`
	Service     uint16         `cbor:"5,keyasint"` // agent only
	Zone        uint8          `cbor:"6,keyasint"`
	State       State          `cbor:"7,keyasint"`
	Incarnation uint64         `cbor:"8,keyasint"` // start time, Unix milliseconds; raised to refute a final state
	Version     uint32         `cbor:"9,keyasint"`
	Slots       uint16         `cbor:"10,keyasint"` // agent: number of requests that its upstream runs concurrently
	Connections uint32         `cbor:"11,keyasint"` // agent: number of flows that its upstream supports
	Boot        uint64         `cbor:"12,keyasint"` // Incarnation at the start; owner tokens contain its low bits
	// NoUpstream reports that no upstream is running on the agent's instance. The agent owns
	// no flow then, or denies it within a round trip when asked.
	NoUpstream bool `cbor:"13,keyasint,omitempty"`
}

// Supersedes reports whether r replaces old, a record of the same address.
func (r *Record) Supersedes(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if old.State.Final() {
		return false
	}
	if r.State.Final() {
		return true
	}
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.State > old.State
}

// Final reports whether the state ends the incarnation.
func (s State) Final() bool { return s == StateLeft || s == StateDead }
