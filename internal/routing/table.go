package routing

import (
	"net/netip"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
)

// Table decides where packets go. It is built from one configuration and one
// view of the members, is immutable and safe for concurrent use.
type Table struct {
	fleet   *config.Fleet
	members map[netip.AddrPort]member
	pools   map[uint16]*pool
	out     [256]bool // by zone ID
}

type member struct {
	role    membership.Role
	service uint16
}

// NewTable builds the table of a process in the named zone.
func NewTable(fleet *config.Fleet, zone string, records []membership.Record) *Table {
	t := &Table{
		fleet:   fleet,
		members: make(map[netip.AddrPort]member, len(records)),
		pools:   make(map[uint16]*pool, len(fleet.Services)),
	}
	for id, z := range fleet.Zones {
		t.out[id] = z.Out
	}
	region := ""
	if z := fleet.ByZone[zone]; z != nil {
		region = z.Region
	}
	agents := t.group(records)
	for id, service := range fleet.Services {
		s := selection{fleet: fleet, region: region, service: service}
		t.pools[id] = s.pool(agents[id])
	}
	return t
}

// group notes all members and returns, by service, the agents that have an
// upstream and whose zones are in.
func (t *Table) group(records []membership.Record) map[uint16][]*membership.Record {
	agents := make(map[uint16][]*membership.Record, len(t.fleet.Services))
	for i := range records {
		r := &records[i]
		t.members[r.Addr] = member{role: r.Role, service: r.Service}
		if t.mayServe(r) {
			agents[r.Service] = append(agents[r.Service], r)
		}
	}
	return agents
}

func (t *Table) mayServe(r *membership.Record) bool {
	if r.Role != membership.RoleAgent || r.Slots == 0 {
		return false
	}
	return r.State != membership.StateLeft && !t.out[r.Zone]
}

// Keys returns the keys of the configuration, nil when there are none.
func (t *Table) Keys() *keyring.Ring { return t.fleet.Keys }

// Fleet returns the configuration of the table.
func (t *Table) Fleet() *config.Fleet { return t.fleet }

// Summary counts the agents of the service; the zero value for an unknown
// service.
func (t *Table) Summary(service uint16) Summary {
	p := t.pools[service]
	if p == nil {
		return Summary{}
	}
	return p.summary
}

// Decide returns the verdict on a packet that a caller sent to a service
// address. Addresses must not be IPv4-mapped IPv6. It does not allocate.
func (t *Table) Decide(packet []byte, caller, destination netip.AddrPort) Decision {
	id, ok := ParseConnectionID(packet)
	if !ok {
		return Decision{Verdict: DropMalformed}
	}
	service := t.fleet.ByAddress[destination]
	if service == nil {
		return Decision{Verdict: DropUnknownAddress}
	}
	if t.fleet.Keys == nil {
		return Decision{Verdict: DropUnknownKey, Service: service.ID}
	}
	token, verdict := ParseToken(t.fleet.Keys, id.ID)
	if verdict == TokenValid {
		return t.owner(service.ID, &token)
	}
	if id.Long {
		return t.candidates(service.ID, caller, id.ID)
	}
	if verdict == TokenUnknownKey {
		return Decision{Verdict: DropUnknownKey, Service: service.ID}
	}
	return Decision{Verdict: DropBadToken, Service: service.ID}
}

// owner decides on a packet with a valid token. A token whose agent is not
// among the members is good: the process may not have heard of it yet.
func (t *Table) owner(service uint16, token *Token) Decision {
	d := Decision{Service: service}
	if token.Service != service {
		d.Verdict = DropWrongService
		return d
	}
	if t.out[token.Zone] {
		d.Verdict = DropZoneOut
		return d
	}
	m, known := t.members[token.Agent]
	switch {
	case known && m.role != membership.RoleAgent:
		d.Verdict = DropNotAgent
	case known && m.service != service:
		d.Verdict = DropWrongService
	default:
		d.Verdict = ForwardOwner
		d.Agent = token.Agent
	}
	return d
}

func (t *Table) candidates(service uint16, caller netip.AddrPort, id []byte) Decision {
	first, second := t.pools[service].pick(flowKey(caller, id))
	if !first.IsValid() {
		return Decision{Verdict: DropNoUpstream, Service: service}
	}
	return Decision{Verdict: ForwardCandidates, Service: service, Agent: first, Second: second}
}
