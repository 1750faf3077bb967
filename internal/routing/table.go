package routing

import (
	"cmp"
	"net/netip"
	"slices"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
)

// Table decides where packets go. It is built from one configuration and one
// view of the members, is immutable and safe for concurrent use.
type Table struct {
	zone    string // of the process
	fleet   *config.Fleet
	members map[netip.AddrPort]member
	pools   []*pool   // by service ID; nil for services without agents
	out     [256]bool // by zone ID
}

type member struct {
	role    membership.Role
	service uint16
}

const serviceCount = 1 << 16

// NewTable builds the table of a process in the named zone.
func NewTable(fleet *config.Fleet, zone string, records []membership.Record) *Table {
	empty := &Table{zone: zone, pools: make([]*pool, serviceCount)}
	return empty.Rebuild(fleet, records)
}

// Rebuild returns the table of another configuration or view of the members. It
// equals the one that NewTable builds and costs less when little changed.
func (t *Table) Rebuild(fleet *config.Fleet, records []membership.Record) *Table {
	next := &Table{
		zone:    t.zone,
		fleet:   fleet,
		members: make(map[netip.AddrPort]member, len(records)),
		pools:   make([]*pool, serviceCount),
	}
	for id, z := range fleet.Zones {
		next.out[id] = z.Out
	}
	agents := next.serving(records)
	selection := newSelection(fleet, t.zone)
	for len(agents) > 0 {
		id := agents[0].Service
		size := sameService(agents)
		if service := fleet.Services[id]; service != nil {
			next.pools[id] = selection.pool(t.pools[id], service, agents[:size])
		}
		agents = agents[size:]
	}
	return next
}

// serving notes all members and returns the agents that have an upstream and
// whose zones are in, by service and address.
func (t *Table) serving(records []membership.Record) []*membership.Record {
	var agents []*membership.Record
	for i := range records {
		r := &records[i]
		t.members[r.Addr] = member{role: r.Role, service: r.Service}
		if t.mayServe(r) {
			agents = append(agents, r)
		}
	}
	slices.SortFunc(agents, func(a, b *membership.Record) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Addr.Compare(b.Addr))
	})
	return agents
}

// sameService returns the number of agents at the start that have the same
// service.
func sameService(agents []*membership.Record) int {
	n := 1
	for n < len(agents) && agents[n].Service == agents[0].Service {
		n++
	}
	return n
}

func (t *Table) mayServe(r *membership.Record) bool {
	if r.Role != membership.RoleAgent || r.Slots == 0 || !r.Addr.Addr().Is4() {
		return false
	}
	return r.State != membership.StateLeft && !t.out[r.Zone]
}

// Keys returns the keys of the configuration, nil when there are none.
func (t *Table) Keys() *keyring.Ring { return t.fleet.Keys }

// Config returns the configuration of the table.
func (t *Table) Config() *config.Fleet { return t.fleet }

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
	p := t.pools[service]
	if p == nil || p.summary.Candidates == 0 {
		return Decision{Verdict: DropNoUpstream, Service: service}
	}
	first, second := p.ring.pick(flowKey(caller, id))
	return Decision{Verdict: ForwardCandidates, Service: service, Agent: first, SecondCandidate: second}
}
