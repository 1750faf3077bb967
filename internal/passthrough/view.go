package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
)

// ownerMemory is how long an agent that left or was declared dead may still come
// back with the flows of its upstream: a restart takes a second or two.
const ownerMemory = 8 * time.Second

// firstAnnouncement is the time from an agent's start until its upstream, if
// there is one, has announced itself: one period of about a second and a call that
// failed.
const firstAnnouncement = 2 * time.Second

// viewBuilder makes views from the members and the configuration. It remembers
// agents that went a short time ago, because an agent that restarts holds the
// same flows as before.
type viewBuilder struct {
	flowMax time.Duration
	zones   []string // in the order of their numbers, from 1
	self    flow.Endpoint
	owners  map[flow.Endpoint]pastOwner
	fleet   *config.Fleet // that the past was last updated with
	past    map[pastChoice]time.Time
}

// pastChoice is a service that an address has or had.
type pastChoice struct {
	address netip.AddrPort
	service string
}

type pastOwner struct {
	service     uint16
	seen        time.Time
	incarnation uint64
	started     time.Time // first sight of the incarnation
	slots       uint16
	zone        uint8
}

func newViewBuilder(s *config.Passthrough) *viewBuilder {
	return &viewBuilder{
		flowMax: s.FlowMax(), zones: s.ZoneNames(), self: flow.EndpointOf(s.Data),
		owners: map[flow.Endpoint]pastOwner{}, past: map[pastChoice]time.Time{},
	}
}

func (b *viewBuilder) build(now time.Time, fleet *config.Fleet, members, departed []membership.Record) *View {
	v := &View{
		Self:    b.self,
		Entries: []flow.Endpoint{b.self},
		Agents:  map[uint16][]flow.Agent{},
		Owners:  map[flow.Endpoint]Owner{},
		Fleet:   fleet,
	}
	for i := range members {
		m := &members[i]
		switch {
		case m.Role == membership.RoleAgent:
			b.noteOwner(now, m)
			b.addAgent(v, m)
		case m.State != membership.StateDraining:
			v.Entries = append(v.Entries, flow.EndpointOf(m.Addr))
		}
	}
	for i := range departed {
		b.depart(now, &departed[i])
	}
	slices.SortFunc(v.Entries, flow.Endpoint.Compare)
	b.addOwners(now, v)
	b.addPast(now, v)
	return v
}

// addPast adds the services of each address, also those that a configuration
// has removed within the time that flows may last.
func (b *viewBuilder) addPast(now time.Time, v *View) {
	if b.fleet != nil && b.fleet != v.Fleet {
		b.keepChoices(now, b.fleet) // they were in force until now
	}
	b.fleet = v.Fleet
	b.keepChoices(now, v.Fleet)
	v.RecentServices = make(map[netip.AddrPort][]string, len(v.Fleet.Routes))
	for c, last := range b.past {
		if now.Sub(last) > b.flowMax {
			delete(b.past, c)
			continue
		}
		v.RecentServices[c.address] = append(v.RecentServices[c.address], c.service)
	}
}

func (b *viewBuilder) keepChoices(now time.Time, fleet *config.Fleet) {
	for address, route := range fleet.Routes {
		for i := range route.Choices {
			b.past[pastChoice{address, route.Choices[i].Service}] = now
		}
	}
}

func (b *viewBuilder) noteOwner(now time.Time, m *membership.Record) {
	addr := flow.EndpointOf(m.Addr)
	o := b.owners[addr]
	if o.incarnation != m.Incarnation {
		o.incarnation, o.started = m.Incarnation, now
	}
	o.service, o.slots, o.zone, o.seen = m.Service, m.Slots, m.Zone, now
	b.owners[addr] = o
}

// depart keeps an agent that may come back. One whose upstream has ended holds
// no flow, and one that was declared dead has been away for longer than a
// restart takes.
func (b *viewBuilder) depart(now time.Time, m *membership.Record) {
	addr := flow.EndpointOf(m.Addr)
	o, known := b.owners[addr]
	switch {
	case m.Role != membership.RoleAgent || known && o.incarnation > m.Incarnation:
	case m.Slots == 0 || m.State == membership.StateDead:
		delete(b.owners, addr)
	case !known:
		b.noteOwner(now, m)
	}
}

// zoneName returns the zone with the number, empty for an unknown one.
func (b *viewBuilder) zoneName(id uint8) string {
	if id == 0 || int(id) > len(b.zones) {
		return ""
	}
	return b.zones[id-1]
}

// addAgent adds an agent that may take new flows.
func (b *viewBuilder) addAgent(v *View, m *membership.Record) {
	zone := b.zoneName(m.Zone)
	if m.State == membership.StateDraining || v.Fleet.ZonesOut[zone] {
		return
	}
	v.Agents[m.Service] = append(v.Agents[m.Service], flow.Agent{
		Addr:    flow.EndpointOf(m.Addr),
		Zone:    zone,
		Slots:   int(m.Slots),
		Suspect: m.State == membership.StateSuspect,
	})
}

func (b *viewBuilder) addOwners(now time.Time, v *View) {
	names := make(map[uint16]string, len(v.Fleet.Pools))
	for name := range v.Fleet.Pools {
		names[config.ServiceID(name)] = name
	}
	for addr, o := range b.owners {
		switch {
		case now.Sub(o.seen) > ownerMemory:
			delete(b.owners, addr)
			continue
		case o.slots == 0 && now.Sub(o.started) > firstAnnouncement:
			continue // it has never announced an upstream
		}
		v.Owners[addr] = Owner{Service: names[o.service], Zone: b.zoneName(o.zone), Announced: o.slots > 0}
		v.OwnerAddrs = append(v.OwnerAddrs, addr)
	}
	slices.SortFunc(v.OwnerAddrs, flow.Endpoint.Compare)
}
