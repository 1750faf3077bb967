package passthrough

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
	"crocusnotch/platform"
)

// simulation is a fleet of entries and agents with upstreams and callers, without a
// network or goroutines: datagrams are delivered one by one after each step. It
// checks what callers and upstreams receive.
type simulation struct {
	fatalf       func(format string, args ...any)
	now          time.Time
	fleet        *config.Fleet
	entries      []*simEntry
	agents       []*simAgent
	departed     []departure
	callers      []*simCaller
	queue        []func()
	dropDatagram func() bool // reports whether a datagram is lost
	scarceSlots  int
	observeAgent func(*simAgent, Decision)
	lastStart    int64
	hedgeShare   float64 // of hedges at all entries, 0: none
}

type departure struct {
	record membership.Record
	at     time.Time
}

type simEntry struct {
	sim    *simulation
	addr   flow.Endpoint
	router *Router
	views  *viewBuilder
	up     bool
	behind bool // receives no new views
}

// simAgent is an agent with its upstream.
type simAgent struct {
	sim      *simulation
	addr     flow.Endpoint
	zone     string
	service  string
	tracker  *Tracker
	up       bool
	removed  bool
	upstream *simUpstream
	stalled  bool // its process is stopped, and datagrams wait for it
	unread   []func()
}

// simUpstream is an upstream that behaves as the platform specifies.
type simUpstream struct {
	startMillis  int64
	sequence     int64
	flows        map[flow.Key]uint32 // sequence number of the acceptance, by flow
	used         map[flow.Key]bool   // flows on which the upstream received a packet
	leaving      bool
	down         bool
	full         bool
	failRequest  func() bool // reports whether a request is reset
	stalled      bool        // requests are not answered
	unanswered   []flow.Key  // flows with a request that came while it was stalled
	leavingSince time.Time   // when the agent received the announcement that it is leaving
}

// simCaller is a caller with one flow.
type simCaller struct {
	key          flow.Key
	open         bool
	reset        bool
	owner        *simUpstream
	undelivered  int // packets sent since the last one that reached the owner
	misdelivered int // those of them that reached another upstream
	seq          uint32
	sent         uint32 // bytes of data
	opened       time.Time
	placedIn     time.Duration // until the caller received an acceptance
}

const (
	simSecret          = "0101010101010101010101010101010101010101010101010101010101010101"
	simFlowMax         = time.Minute
	simUpstreamTimeout = 3 * time.Second
	simDisrupted       = 4 * time.Second
)

var (
	simStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	codec     = platform.Codec{}
	routeA    = netip.MustParseAddrPort("198.18.0.1:443")
	routeB    = netip.MustParseAddrPort("198.18.0.2:443")
	zoneNames = []string{"z1", "z2"}
	// allZoneNames adds a zone that only tests use which move agents there.
	allZoneNames = append(zoneNames[:2:2], "z3")
)

func addrOf(kind byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(i >> 8), byte(i)}), 7000)
}

func newSimulation(fatalf func(string, ...any), entries, agents int) *simulation {
	sim := &simulation{fatalf: fatalf, now: simStart, dropDatagram: func() bool { return false }, observeAgent: func(*simAgent, Decision) {}}
	sim.fleet = config.Empty()
	sim.fleet.FlowIdle = 15 * time.Second
	sim.fleet.Routes = map[netip.AddrPort]*config.Route{
		routeA: {Name: "a", Address: routeA, Choices: []config.Choice{{Service: "alpha", Weight: 1}}},
		routeB: {Name: "b", Address: routeB, Choices: []config.Choice{{Service: "beta", Weight: 1}}},
	}
	sim.fleet.Pools = map[string]*config.Pool{"alpha": {Name: "alpha"}, "beta": {Name: "beta"}}
	for i := range entries {
		e := &simEntry{sim: sim, addr: flow.EndpointOf(addrOf(1, i))}
		sim.entries = append(sim.entries, e)
		e.start()
	}
	for i := range agents {
		sim.addAgent(i, []string{"alpha", "alpha", "beta"}[i%3])
	}
	sim.syncViews()
	return sim
}

func (sim *simulation) addAgent(i int, service string) *simAgent {
	a := &simAgent{sim: sim, addr: flow.EndpointOf(addrOf(2, i)), zone: zoneNames[i%len(zoneNames)], service: service}
	a.upstream = sim.newUpstream()
	sim.agents = append(sim.agents, a)
	a.start()
	a.announce()
	return a
}

func (sim *simulation) newUpstream() *simUpstream {
	sim.lastStart++
	return &simUpstream{startMillis: sim.lastStart, flows: map[flow.Key]uint32{}}
}

func (e *simEntry) start() {
	e.router = NewRouter("z1", simFlowMax, e, func(Decision) {})
	e.router.SetDisrupted(simDisrupted)
	if e.sim.hedgeShare > 0 {
		e.router.SetHedging(e.sim.hedgeShare)
	}
	e.views = newViewBuilder(&config.Passthrough{
		Data: e.addr.AddrPort(), Zones: map[string]string{"z1": "r", "z2": "r", "z3": "r"}, FlowMaxSeconds: simFlowMax.Seconds(),
	})
	e.up = true
}

func (a *simAgent) start() {
	a.tracker = NewTracker(TrackerOptions{
		Self: a.addr, Upstream: flow.UpstreamIdentity{Service: a.service, Zone: a.zone}, Started: a.sim.now, MaxAge: simFlowMax, UpstreamTimeout: simUpstreamTimeout,
		Codec: codec, Out: a, Observe: func(d Decision) { a.sim.observeAgent(a, d) }, ObserveAnswer: func(time.Duration) {}, ScarceSlots: a.sim.scarceSlots,
	})
	a.tracker.Configure(flow.Limits{}, a.sim.fleet.FlowIdle, a.sim.fleet.ZonesOut[a.zone])
	a.up, a.stalled, a.unread = true, false, nil
}

// announce sends an announcement of the upstream to the agent.
func (a *simAgent) announce() {
	u := a.upstream
	if !a.up || u.down || a.stalled {
		return
	}
	u.sequence++
	a.tracker.Announce(a.sim.now, flow.Announcement{
		ID: fmt.Sprint("i-", u.startMillis), StartMillis: u.startMillis, Sequence: u.sequence, Service: a.service, Zone: a.zone,
		Slots: 5, Leaving: u.leaving,
	})
	if u.leaving && u.leavingSince.IsZero() {
		u.leavingSince = a.sim.now
	}
}

// stop ends the agent's process.
func (a *simAgent) stop() {
	if a.up {
		a.up = false
		a.sim.departed = append(a.sim.departed, departure{record: a.record(), at: a.sim.now})
	}
}

func (a *simAgent) record() membership.Record {
	r := membership.Record{
		Addr: a.addr.AddrPort(), Role: membership.RoleAgent, Service: config.ServiceID(a.service),
		State: memberState(a.tracker.State(a.sim.now)), Slots: uint16(a.tracker.Last().Slots),
		Incarnation: uint64(a.tracker.Started.UnixMilli()), NoUpstream: a.tracker.withoutUpstream(),
	}
	for i, z := range allZoneNames {
		if z == a.zone {
			r.Zone = uint8(i + 1)
		}
	}
	if a.tracker.Last().Ended {
		r.Slots = 0
	}
	return r
}

// syncViews updates the views of all entries.
func (sim *simulation) syncViews() {
	var members, departed []membership.Record
	for _, e := range sim.entries {
		if e.up {
			members = append(members, membership.Record{Addr: e.addr.AddrPort(), Role: membership.RoleEntry, State: membership.StateReady})
		}
	}
	for _, a := range sim.agents {
		if a.up {
			members = append(members, a.record())
		}
	}
	for _, d := range sim.departed {
		if sim.now.Sub(d.at) < departedOwnerTTL {
			departed = append(departed, d.record)
		}
	}
	for _, e := range sim.entries {
		if !e.up || e.behind {
			continue
		}
		var others []membership.Record
		for _, m := range members {
			if flow.EndpointOf(m.Addr) != e.addr {
				others = append(others, m)
			}
		}
		e.router.SetVerifiedAt(sim.now)
		e.router.SetView(sim.now, e.views.build(sim.now, sim.fleet, others, departed))
	}
}

// advance moves the time forward in ticks, with announcements and new views each
// second.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(tickPeriod)
		for _, e := range sim.entries {
			if e.up {
				e.router.Tick(sim.now)
			}
		}
		for _, a := range sim.agents {
			if a.up && !a.stalled {
				a.tracker.Tick(sim.now)
			}
		}
		sim.deliverAll()
		if sim.now.Sub(simStart)%time.Second == 0 {
			for _, a := range sim.agents {
				a.announce()
			}
			sim.syncViews()
		}
	}
}

// deliverAll delivers all datagrams in flight.
func (sim *simulation) deliverAll() {
	for n := 0; len(sim.queue) > 0; n++ {
		if n > 100_000 {
			sim.fatalf("endless exchange of messages")
			return
		}
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		if !sim.dropDatagram() {
			next()
		}
	}
}

func (sim *simulation) enqueue(f func()) { sim.queue = append(sim.queue, f) }

// Forward, Query, SendMessage and Reset implement Outbox.
func (e *simEntry) Forward(agent flow.Endpoint, meta flow.Metadata, packet []byte) {
	copied := bytes.Clone(packet)
	codec.SetMetadata(copied, meta)
	e.sim.sendToAgent(e.addr, agent, copied)
}

func (e *simEntry) Query(agent flow.Endpoint, meta flow.Metadata, packet []byte) {
	e.sim.sendToAgent(e.addr, agent, codec.AppendQuery(nil, packet, meta))
}

func (sim *simulation) sendToAgent(from, to flow.Endpoint, packet []byte) {
	sim.enqueue(func() {
		for _, a := range sim.agents {
			if a.addr == to && a.up && !a.removed {
				s, err := codec.Decode(packet)
				if err != nil {
					sim.fatalf("an agent received a malformed packet: %v", err)
					return
				}
				a.read(func() { a.tracker.Packet(sim.now, from, &s, packet) })
			}
		}
	})
}

func (e *simEntry) SendMessage(entry flow.Endpoint, m *Message) { e.sim.sendMessage(e.addr, entry, m) }

func (sim *simulation) sendMessage(from, to flow.Endpoint, m *Message) {
	copied := *m
	copied.Packet = bytes.Clone(m.Packet)
	copied.Registrations = append([]Registration(nil), m.Registrations...)
	copied.Queries = append([]flow.Key(nil), m.Queries...)
	copied.Answers = append([]Answer(nil), m.Answers...)
	sim.enqueue(func() {
		for _, e := range sim.entries {
			if e.addr == to && e.up {
				e.router.Message(sim.now, from, &copied)
			}
		}
		for _, a := range sim.agents {
			if a.addr == to && a.up && !a.removed {
				a.read(func() { a.tracker.Message(sim.now, from, &copied) })
			}
		}
	})
}

func (e *simEntry) Reset(k flow.Key, seq uint32) { e.sim.resetCaller(k, seq, "entry") }

func (sim *simulation) resetCaller(k flow.Key, _ uint32, by string) {
	for _, c := range sim.callers {
		if c.key != k {
			continue
		}
		if c.open && !c.owner.down && c.owner.flows[k] != 0 {
			sim.fatalf("an %s reset flow %s whose upstream is running", by, k)
		}
		c.reset = true
	}
}

// ToUpstream, ToCaller, SendMessage and Reset implement TrackerOutbox.
func (a *simAgent) ToUpstream(packet []byte) {
	b := bytes.Clone(packet)
	a.sim.enqueue(func() { a.upstreamReceives(b) })
}

func (a *simAgent) ToCaller(k flow.Key, packet []byte) {
	s, _ := codec.Decode(packet)
	a.sim.enqueue(func() { a.sim.callerReceives(a, k, &s) })
}

func (a *simAgent) SendMessage(entry flow.Endpoint, m *Message) { a.sim.sendMessage(a.addr, entry, m) }

func (a *simAgent) Reset(k flow.Key, seq uint32) { a.sim.resetCaller(k, seq, "agent") }

// upstreamReceives handles a packet at the upstream.
func (a *simAgent) upstreamReceives(packet []byte) {
	u := a.upstream
	if u.down {
		return
	}
	s, err := codec.Decode(packet)
	if err != nil || codec.Metadata(packet) != (flow.Metadata{}) || s.Returned {
		a.sim.fatalf("an upstream received a packet that differs from the one sent: %v %+v", err, s)
		return
	}
	k := s.KeyFromCaller()
	allows := func(c config.Choice) bool { return c.Service == a.service && c.Weight > 0 }
	if route := a.sim.fleet.Routes[k.Route().AddrPort()]; route == nil || !slices.ContainsFunc(route.Choices, allows) {
		if s.Opening {
			a.sim.fatalf("a flow for %s was offered to service %s", k, a.service)
		}
	}
	if s.Opening {
		a.handleOpening(k, packet)
		return
	}
	a.sim.recordDelivery(k, u)
	if !a.upstreamHolds(k, &s) {
		packet[30] |= 4 // the mark of a returned packet
		a.agentReceives(packet)
		return
	}
	if s.Data > 0 && u.failRequest != nil && u.failRequest() {
		delete(u.flows, k)
		a.agentReceives(makePacket(k.Route(), k.Caller(), 16|32, 0, 0, 0))
		return
	}
	if u.stalled {
		u.unanswered = append(u.unanswered, k)
		return
	}
	a.agentReceives(makePacket(k.Route(), k.Caller(), 16, 0, 0, 100))
}

func (a *simAgent) handleOpening(k flow.Key, packet []byte) {
	u := a.upstream
	_, held := u.flows[k]
	if !held && !u.leavingSince.IsZero() && a.sim.now.After(u.leavingSince) {
		a.sim.fatalf("a leaving upstream received the new flow %s", k)
	}
	if !held && a.sim.fleet.ZonesOut[a.zone] {
		a.sim.fatalf("an upstream in a zone that is out of service received the new flow %s", k)
	}
	if u.full {
		packet[30] |= 4
		a.agentReceives(packet)
		return
	}
	if !held {
		u.flows[k] = uint32(len(u.flows)+1)*1000 + uint32(u.startMillis)*1_000_003 // differs by more than 1 between upstreams
	}
	a.agentReceives(makePacket(k.Route(), k.Caller(), 1|16, u.flows[k], 0, 0))
}

func (a *simAgent) agentReceives(packet []byte) {
	a.sim.enqueue(func() {
		if !a.up || a.removed {
			return
		}
		s, err := codec.Decode(packet)
		if err != nil {
			a.sim.fatalf("an upstream sent a malformed packet: %v", err)
			return
		}
		anyEntry := flow.Endpoint{}
		for _, e := range a.sim.entries {
			if e.up {
				anyEntry = e.addr
			}
		}
		a.read(func() { a.tracker.FromUpstream(a.sim.now, &s, packet, anyEntry) })
	})
}

// recordDelivery records that a packet of an open flow reached an upstream.
func (sim *simulation) recordDelivery(k flow.Key, u *simUpstream) {
	for _, c := range sim.callers {
		if c.key != k || !c.open || c.owner.down {
			continue
		}
		if c.owner == u {
			c.undelivered, c.misdelivered = 0, 0
			continue
		}
		c.misdelivered++
	}
}

func (sim *simulation) callerReceives(a *simAgent, k flow.Key, s *flow.Segment) {
	for _, c := range sim.callers {
		if c.key != k || !s.Accepted || c.open || c.reset {
			continue
		}
		c.open, c.owner, c.seq, c.placedIn = true, a.upstream, s.Seq, sim.now.Sub(c.opened)
	}
}
