package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
)

// departedOwnerTTL is how long an agent that departed may still come back with the
// flows of its upstream: a restart takes a second or two.
const departedOwnerTTL = 8 * time.Second

// firstAnnouncementTimeout is the time from an agent's start until its upstream, if
// there is one, has announced itself: one period of about a second and one failed
// call.
const firstAnnouncementTimeout = 2 * time.Second

// viewBuilder builds views from the members and the configuration. It keeps agents
// that departed recently, because an agent holds the same flows after a restart.
type viewBuilder struct {
	flowMax        time.Duration
	zones          []string // ordered by zone ID, from 1
	self           flow.Endpoint
	owners         map[flow.Endpoint]knownOwner
	fleet          *config.Fleet // that recentServices was last updated with
	recentServices map[routeService]time.Time
}

// routeService is a service that an address has or recently had.
type routeService struct {
	address netip.AddrPort
	service string
}

type knownOwner struct {
	service     uint16
	lastSeen    time.Time
	incarnation uint64
	firstSeen   time.Time // when the incarnation was first seen
	slots       uint16
	zone        uint8
	departed    bool // not a member when the latest view was built
	noUpstream  bool // no upstream is running on its instance
}

func newViewBuilder(s *config.Passthrough) *viewBuilder {
	return &viewBuilder{
		flowMax: s.FlowMax(), zones: s.ZoneNames(), self: flow.EndpointOf(s.Data),
		owners: map[flow.Endpoint]knownOwner{}, recentServices: map[routeService]time.Time{},
	}
}

func (b *viewBuilder) build(now time.Time, fleet *config.Fleet, members, departed []membership.Record) *View {
	v := &View{
		Self:    b.self,
		Entries: []flow.Endpoint{b.self},
		Agents:  map[uint16][]flow.Agent{},
		Owners:  map[flow.Endpoint]Owner{},
		Fleet:   fleet,

		excluded: map[uint16][]excludedAgent{},
		members:  members,
	}
	for addr, o := range b.owners {
		o.departed = true
		b.owners[addr] = o
	}
	for i := range members {
		m := &members[i]
		switch {
		case m.Role == membership.RoleAgent:
			b.recordOwner(now, m, false)
			b.addAgent(v, m)
		case m.State != membership.StateDraining:
			v.Entries = append(v.Entries, flow.EndpointOf(m.Addr))
		}
	}
	for i := range departed {
		b.recordDeparture(now, &departed[i])
	}
	slices.SortFunc(v.Entries, flow.Endpoint.Compare)
	b.addOwners(now, v)
	b.addRecentServices(now, v)
	return v
}

// addRecentServices adds the services of each address, including those that the
// configuration lost within the maximum age of a flow.
func (b *viewBuilder) addRecentServices(now time.Time, v *View) {
	if b.fleet != nil && b.fleet != v.Fleet {
		b.recordServices(now, b.fleet) // in effect until now
	}
	b.fleet = v.Fleet
	b.recordServices(now, v.Fleet)
	v.RecentServices = make(map[netip.AddrPort][]string, len(v.Fleet.Routes))
	for c, last := range b.recentServices {
		if now.Sub(last) > b.flowMax {
			delete(b.recentServices, c)
			continue
		}
		v.RecentServices[c.address] = append(v.RecentServices[c.address], c.service)
	}
}

func (b *viewBuilder) recordServices(now time.Time, fleet *config.Fleet) {
	for address, route := range fleet.Routes {
		for i := range route.Choices {
			b.recentServices[routeService{address, route.Choices[i].Service}] = now
		}
	}
}

func (b *viewBuilder) recordOwner(now time.Time, m *membership.Record, departed bool) {
	addr := flow.EndpointOf(m.Addr)
	o := b.owners[addr]
	if o.incarnation != m.Incarnation {
		o.incarnation, o.firstSeen = m.Incarnation, now
	}
	o.service, o.slots, o.zone, o.lastSeen, o.departed, o.noUpstream = m.Service, m.Slots, m.Zone, now, departed, m.NoUpstream
	b.owners[addr] = o
}

// recordDeparture keeps a departed agent as an owner if it may come back. An agent
// whose upstream has ended holds no flow, and one that was declared dead has been
// unreachable for longer than a restart takes.
func (b *viewBuilder) recordDeparture(now time.Time, m *membership.Record) {
	addr := flow.EndpointOf(m.Addr)
	o, known := b.owners[addr]
	switch {
	case m.Role != membership.RoleAgent || known && o.incarnation > m.Incarnation:
	case m.Slots == 0 || m.State == membership.StateDead:
		delete(b.owners, addr)
	case !known:
		b.recordOwner(now, m, true)
	}
}

// zoneName returns the name of the zone with the ID, or "" for an unknown one.
func (b *viewBuilder) zoneName(id uint8) string {
	if id == 0 || int(id) > len(b.zones) {
		return ""
	}
	return b.zones[id-1]
}

// addAgent adds the agent to those that new flows may be placed on, or to the excluded ones.
func (b *viewBuilder) addAgent(v *View, m *membership.Record) {
	zone := b.zoneName(m.Zone)
	a := flow.Agent{
		Addr:    flow.EndpointOf(m.Addr),
		Zone:    zone,
		Slots:   int(m.Slots),
		Suspect: m.State == membership.StateSuspect,
		Cold:    m.State == membership.StateCold,
	}
	if why := exclusionOf(m, zone, v.Fleet); why != "" {
		v.excluded[m.Service] = append(v.excluded[m.Service], excludedAgent{a, why})
		return
	}
	v.Agents[m.Service] = append(v.Agents[m.Service], a)
}

func (b *viewBuilder) addOwners(now time.Time, v *View) {
	names := make(map[uint16]string, len(v.Fleet.Pools))
	for name := range v.Fleet.Pools {
		names[config.ServiceID(name)] = name
	}
	for addr, o := range b.owners {
		switch {
		case now.Sub(o.lastSeen) > departedOwnerTTL:
			delete(b.owners, addr)
			continue
		case o.slots == 0 && !o.noUpstream && now.Sub(o.firstSeen) > firstAnnouncementTimeout:
			continue // its upstream has never announced itself
		}
		v.Owners[addr] = Owner{Service: names[o.service], Zone: b.zoneName(o.zone), Announced: o.slots > 0, Departed: o.departed, NoUpstream: o.noUpstream, Incarnation: o.incarnation, Since: o.firstSeen}
		v.OwnerAddrs = append(v.OwnerAddrs, addr)
	}
	slices.SortFunc(v.OwnerAddrs, flow.Endpoint.Compare)
}
