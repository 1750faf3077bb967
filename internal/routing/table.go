package routing

import (
	"cmp"
	"net/netip"
	"slices"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
)

// Table decides where packets are forwarded. It is built from one configuration
// and one list of members, is immutable and safe for concurrent use.
type Table struct {
	zone    string // of this process
	config  *config.Fleet
	members map[netip.AddrPort]member
	pools   []*pool   // by service ID; nil for services without agents
	zoneOut [256]bool // zones out of service, by ID
}

type member struct {
	role    membership.Role
	service uint16
}

const serviceCount = 1 << 16

// NewTable builds the table for a process in the named zone.
func NewTable(fleet *config.Fleet, zone string, records []membership.Record) *Table {
	empty := &Table{zone: zone, pools: make([]*pool, serviceCount)}
	return empty.Rebuild(fleet, records)
}

// Rebuild returns the table for another configuration or list of members. It
// equals the result of NewTable and takes less time when little has changed.
func (t *Table) Rebuild(fleet *config.Fleet, records []membership.Record) *Table {
	next := &Table{
		zone:    t.zone,
		config:  fleet,
		members: make(map[netip.AddrPort]member, len(records)),
		pools:   make([]*pool, serviceCount),
	}
	for id, z := range fleet.Zones {
		next.zoneOut[id] = z.Out
	}
	agents := next.addMembers(records)
	selector := newCandidateSelector(fleet, t.zone)
	for len(agents) > 0 {
		id := agents[0].Service
		size := serviceAgentCount(agents)
		if service := fleet.Services[id]; service != nil {
			next.pools[id] = selector.selectPool(t.pools[id], service, agents[:size])
		}
		agents = agents[size:]
	}
	return next
}

// addMembers sets the members of the table and returns the agents that may serve
// flows, sorted by service and address.
func (t *Table) addMembers(records []membership.Record) []*membership.Record {
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

// serviceAgentCount returns the number of agents at the start of the list that
// have the same service.
func serviceAgentCount(agents []*membership.Record) int {
	n := 1
	for n < len(agents) && agents[n].Service == agents[0].Service {
		n++
	}
	return n
}

// mayServe reports whether the record belongs to an agent with an upstream and
// an IPv4 address that has not left and whose zone is in service.
func (t *Table) mayServe(r *membership.Record) bool {
	if r.Role != membership.RoleAgent || r.Slots == 0 || !r.Addr.Addr().Is4() {
		return false
	}
	return r.State != membership.StateLeft && !t.zoneOut[r.Zone]
}

// Keys returns the keys of the configuration, nil when there are none.
func (t *Table) Keys() *keyring.Ring { return t.config.Keys }

// Config returns the configuration of the table.
func (t *Table) Config() *config.Fleet { return t.config }

// Summary returns the counts of the service's agents, all zero for an unknown
// service.
func (t *Table) Summary(service uint16) Summary {
	p := t.pools[service]
	if p == nil {
		return Summary{}
	}
	return p.summary
}

// Decide returns the decision for a packet that a caller sent to a service
// address. Addresses must not be IPv4-mapped IPv6. It does not allocate.
func (t *Table) Decide(packet []byte, caller, destination netip.AddrPort) Decision {
	id, ok := ParseConnectionID(packet)
	if !ok {
		return Decision{Verdict: DropMalformed}
	}
	service := t.config.ByAddress[destination]
	if service == nil {
		return Decision{Verdict: DropUnknownAddress}
	}
	if t.config.Keys == nil {
		return Decision{Verdict: DropUnknownKey, Service: service.ID}
	}
	token, verdict := ParseToken(t.config.Keys, id.ID)
	if verdict == TokenValid {
		return t.decideByToken(service.ID, &token)
	}
	if id.Long {
		return t.decideNewFlow(service.ID, caller, id.ID)
	}
	if verdict == TokenUnknownKey {
		return Decision{Verdict: DropUnknownKey, Service: service.ID}
	}
	return Decision{Verdict: DropBadToken, Service: service.ID}
}

// decideByToken returns the decision for a packet with a valid token. A token
// whose agent is not among the members is accepted, because the agent's record
// may not have reached this process yet.
func (t *Table) decideByToken(service uint16, token *Token) Decision {
	d := Decision{Service: service}
	if token.Service != service {
		d.Verdict = DropWrongService
		return d
	}
	if t.zoneOut[token.Zone] {
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

func (t *Table) decideNewFlow(service uint16, caller netip.AddrPort, id []byte) Decision {
	p := t.pools[service]
	if p == nil || p.summary.Candidates == 0 {
		return Decision{Verdict: DropNoUpstream, Service: service}
	}
	first, second := p.ring.pick(flowKey(caller, id))
	return Decision{Verdict: ForwardCandidates, Service: service, Agent: first, SecondCandidate: second}
}
