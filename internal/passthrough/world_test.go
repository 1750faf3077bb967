package passthrough

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
	"crocusnotch/platform"
	"crocusnotch/platform/platformtest"
)

// world is a fleet of entries and agents with upstreams and callers, without a
// network or goroutines: messages are delivered one by one, after each step.
// It checks what callers and upstreams see.
type world struct {
	fail    func(format string, args ...any)
	now     time.Time
	fleet   *config.Fleet
	entries []*worldEntry
	agents  []*worldAgent
	gone    []departure
	callers []*worldCaller
	queue   []func()
	lose    func() bool // draws whether a datagram is lost
	born    int64
}

type departure struct {
	record membership.Record
	at     time.Time
}

type worldEntry struct {
	w      *world
	addr   flow.End
	router *Router
	views  *viewBuilder
	up     bool
}

// worldAgent is an agent with the upstream beside it.
type worldAgent struct {
	w        *world
	addr     flow.End
	zone     string
	service  string
	keeper   *Keeper
	up       bool
	removed  bool
	upstream *worldUpstream
}

// worldUpstream holds flows as the platform's pages say.
type worldUpstream struct {
	born     int64
	sequence int64
	flows    map[flow.Key]uint32 // to the sequence number of the consent
	leaving  bool
	dead     bool
	full     bool
	fails    func() bool // draws whether a request is reset
	leftAt   time.Time   // moment at which the agent knew that it leaves
}

// worldCaller is one flow of a caller.
type worldCaller struct {
	key     flow.Key
	open    bool
	reset   bool
	owner   *worldUpstream
	sent    int // packets since the last one that reached the owner
	strayed int // of them, packets that reached other upstreams
	seq     uint32
	opened  time.Time
}

const (
	worldSecret  = "0101010101010101010101010101010101010101010101010101010101010101"
	worldFlowMax = time.Minute
	worldSilence = 3 * time.Second
)

var (
	worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	codec      = platform.Codec{}
	routeA     = netip.MustParseAddrPort("198.18.0.1:443")
	routeB     = netip.MustParseAddrPort("198.18.0.2:443")
	zoneNames  = []string{"z1", "z2"}
)

func addrOf(kind byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(i >> 8), byte(i)}), 7000)
}

func newWorld(fail func(string, ...any), entries, agents int) *world {
	w := &world{fail: fail, now: worldStart, lose: func() bool { return false }}
	w.fleet = config.Empty()
	w.fleet.FlowIdle = 15 * time.Second
	w.fleet.Routes = map[netip.AddrPort]*config.Route{
		routeA: {Name: "a", Address: routeA, Choices: []config.Choice{{Service: "alpha", Weight: 1}}},
		routeB: {Name: "b", Address: routeB, Choices: []config.Choice{{Service: "beta", Weight: 1}}},
	}
	w.fleet.Pools = map[string]*config.Pool{"alpha": {Name: "alpha"}, "beta": {Name: "beta"}}
	for i := range entries {
		e := &worldEntry{w: w, addr: flow.EndOf(addrOf(1, i))}
		w.entries = append(w.entries, e)
		e.start()
	}
	for i := range agents {
		w.addAgent(i, []string{"alpha", "alpha", "beta"}[i%3])
	}
	w.settle()
	return w
}

func (w *world) addAgent(i int, service string) *worldAgent {
	a := &worldAgent{w: w, addr: flow.EndOf(addrOf(2, i)), zone: zoneNames[i%len(zoneNames)], service: service}
	a.upstream = w.newUpstream()
	w.agents = append(w.agents, a)
	a.start()
	a.beat()
	return a
}

func (w *world) newUpstream() *worldUpstream {
	w.born++
	return &worldUpstream{born: w.born, flows: map[flow.Key]uint32{}}
}

func (e *worldEntry) start() {
	e.router = NewRouter("z1", worldFlowMax, e, func(Decision) {})
	e.views = newViewBuilder(&config.Passthrough{
		Data: e.addr.AddrPort(), Zones: map[string]string{"z1": "r", "z2": "r"}, FlowMaxSeconds: worldFlowMax.Seconds(),
	})
	e.up = true
}

func (a *worldAgent) start() {
	a.keeper = NewKeeper(KeeperOptions{
		Service: a.service, Started: a.w.now, MaxAge: worldFlowMax, Silence: worldSilence,
		Codec: codec, Out: a, Observe: func(Decision) {}, Answered: func(time.Duration) {},
	})
	a.keeper.Configure(flow.Limits{}, a.w.fleet.FlowIdle, a.w.fleet.ZonesOut[a.zone])
	a.up = true
}

// beat lets the upstream announce itself.
func (a *worldAgent) beat() {
	u := a.upstream
	if !a.up || u.dead {
		return
	}
	u.sequence++
	a.keeper.Announce(a.w.now, flow.Announcement{
		ID: fmt.Sprint("i-", u.born), Born: u.born, Sequence: u.sequence, Service: a.service, Zone: a.zone,
		Slots: 5, Leaving: u.leaving,
	})
	if u.leaving && u.leftAt.IsZero() {
		u.leftAt = a.w.now
	}
}

// stop ends the agent's process.
func (a *worldAgent) stop() {
	if a.up {
		a.up = false
		a.w.gone = append(a.w.gone, departure{record: a.record(), at: a.w.now})
	}
}

func (a *worldAgent) record() membership.Record {
	r := membership.Record{
		Addr: a.addr.AddrPort(), Role: membership.RoleAgent, Service: config.ServiceID(a.service),
		State: recordState(a.keeper.State(a.w.now)), Slots: uint16(a.keeper.Last().Slots),
	}
	for i, z := range zoneNames {
		if z == a.zone {
			r.Zone = uint8(i + 1)
		}
	}
	if a.keeper.Last().Gone {
		r.Slots = 0
	}
	return r
}

// settle gives all entries the present view of the fleet.
func (w *world) settle() {
	var members, departed []membership.Record
	for _, e := range w.entries {
		if e.up {
			members = append(members, membership.Record{Addr: e.addr.AddrPort(), Role: membership.RoleEntry, State: membership.StateReady})
		}
	}
	for _, a := range w.agents {
		if a.up {
			members = append(members, a.record())
		}
	}
	for _, d := range w.gone {
		if w.now.Sub(d.at) < ownerMemory {
			departed = append(departed, d.record)
		}
	}
	for _, e := range w.entries {
		if !e.up {
			continue
		}
		var others []membership.Record
		for _, m := range members {
			if flow.EndOf(m.Addr) != e.addr {
				others = append(others, m)
			}
		}
		e.router.SetFresh(w.now)
		e.router.SetView(w.now, e.views.build(w.now, w.fleet, others, departed))
	}
}

// advance lets time pass in ticks, with announcements and views each second.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickPeriod)
		for _, e := range w.entries {
			if e.up {
				e.router.Tick(w.now)
			}
		}
		for _, a := range w.agents {
			if a.up {
				a.keeper.Tick(w.now)
			}
		}
		w.drain()
		if w.now.Sub(worldStart)%time.Second == 0 {
			for _, a := range w.agents {
				a.beat()
			}
			w.settle()
		}
	}
}

// drain delivers all datagrams that are under way.
func (w *world) drain() {
	for n := 0; len(w.queue) > 0; n++ {
		if n > 100_000 {
			w.fail("messages without an end")
			return
		}
		next := w.queue[0]
		w.queue = w.queue[1:]
		if !w.lose() {
			next()
		}
	}
}

func (w *world) post(f func()) { w.queue = append(w.queue, f) }

// Carry, Ask, Tell and Reset are the sending side of an entry.
func (e *worldEntry) Carry(agent flow.End, n flow.Note, packet []byte) {
	copied := bytes.Clone(packet)
	codec.SetNote(copied, n)
	e.w.toAgent(e.addr, agent, copied)
}

func (e *worldEntry) Ask(agent flow.End, n flow.Note, packet []byte) {
	e.w.toAgent(e.addr, agent, codec.AppendQuery(nil, packet, n))
}

func (w *world) toAgent(from, to flow.End, packet []byte) {
	w.post(func() {
		for _, a := range w.agents {
			if a.addr == to && a.up && !a.removed {
				s, err := codec.Decode(packet)
				if err != nil {
					w.fail("an agent got a packet that can't be read: %v", err)
					return
				}
				a.keeper.Packet(w.now, from, &s, packet)
			}
		}
	})
}

func (e *worldEntry) Tell(entry flow.End, m *Message) { e.w.toEntry(e.addr, entry, m) }

func (w *world) toEntry(from, to flow.End, m *Message) {
	copied := *m
	copied.Packet = bytes.Clone(m.Packet)
	copied.Pairs = append([]Pair(nil), m.Pairs...)
	copied.Asks = append([]flow.Key(nil), m.Asks...)
	copied.Answers = append([]Answer(nil), m.Answers...)
	w.post(func() {
		for _, e := range w.entries {
			if e.addr == to && e.up {
				e.router.Message(w.now, from, &copied)
			}
		}
		for _, a := range w.agents {
			if a.addr == to && a.up && !a.removed {
				a.keeper.Asked(w.now, from, copied.Asks)
			}
		}
	})
}

func (e *worldEntry) Reset(k flow.Key, seq uint32) { e.w.resetCaller(k, seq, "entry") }

func (w *world) resetCaller(k flow.Key, _ uint32, by string) {
	for _, c := range w.callers {
		if c.key != k {
			continue
		}
		if c.open && !c.owner.dead && c.owner.flows[k] != 0 {
			w.fail("an %s reset flow %s whose upstream lives", by, k)
		}
		c.reset = true
	}
}

// ToUpstream, ToCaller, Tell and Reset are the sending side of an agent.
func (a *worldAgent) ToUpstream(packet []byte) {
	b := bytes.Clone(packet)
	a.w.post(func() { a.receive(b) })
}

func (a *worldAgent) ToCaller(k flow.Key, packet []byte) {
	s, _ := codec.Decode(packet)
	a.w.post(func() { a.w.callerReceives(a, k, &s) })
}

func (a *worldAgent) Tell(entry flow.End, m *Message) { a.w.toEntry(a.addr, entry, m) }

func (a *worldAgent) Reset(k flow.Key, seq uint32) { a.w.resetCaller(k, seq, "agent") }

// receive is the upstream taking a packet.
func (a *worldAgent) receive(packet []byte) {
	u := a.upstream
	if u.dead {
		return
	}
	s, err := codec.Decode(packet)
	if err != nil || codec.Note(packet) != (flow.Note{}) || s.Bounced {
		a.w.fail("an upstream got a packet that its sender did not write: %v %+v", err, s)
		return
	}
	k := s.FromCaller()
	if route := a.w.fleet.Routes[k.Route().AddrPort()]; route == nil || route.Choices[0].Service != a.service {
		if s.Opening {
			a.w.fail("a flow for %s was offered to service %s", k, a.service)
		}
	}
	if s.Opening {
		a.takeOpening(k, packet)
		return
	}
	a.w.reached(k, u)
	if _, held := u.flows[k]; !held {
		packet[30] |= 4 // the mark of a returned packet
		a.fromUpstream(packet)
		return
	}
	if s.Data > 0 && u.fails != nil && u.fails() {
		delete(u.flows, k)
		a.fromUpstream(makePacket(k.Route(), k.Caller(), 16|32, 0, 0, 0))
		return
	}
	a.fromUpstream(makePacket(k.Route(), k.Caller(), 16, 0, 0, 100))
}

func (a *worldAgent) takeOpening(k flow.Key, packet []byte) {
	u := a.upstream
	_, held := u.flows[k]
	if !held && !u.leftAt.IsZero() && a.w.now.After(u.leftAt) {
		a.w.fail("a leaving upstream got the new flow %s", k)
	}
	if !held && a.w.fleet.ZonesOut[a.zone] {
		a.w.fail("an upstream in a zone that is out got the new flow %s", k)
	}
	if u.full {
		packet[30] |= 4
		a.fromUpstream(packet)
		return
	}
	if !held {
		u.flows[k] = uint32(len(u.flows)+1)*1000 + uint32(u.born)
	}
	a.fromUpstream(makePacket(k.Route(), k.Caller(), 1|16, u.flows[k], 0, 0))
}

func (a *worldAgent) fromUpstream(packet []byte) {
	a.w.post(func() {
		if !a.up || a.removed {
			return
		}
		s, err := codec.Decode(packet)
		if err != nil {
			a.w.fail("a packet of an upstream can't be read: %v", err)
			return
		}
		any := flow.End{}
		for _, e := range a.w.entries {
			if e.up {
				any = e.addr
			}
		}
		a.keeper.FromUpstream(a.w.now, &s, packet, any)
	})
}

// reached notes where the packets of an open flow go.
func (w *world) reached(k flow.Key, u *worldUpstream) {
	for _, c := range w.callers {
		if c.key != k || !c.open || c.owner.dead {
			continue
		}
		if c.owner == u {
			c.sent, c.strayed = 0, 0
			continue
		}
		c.strayed++
	}
}

func (w *world) callerReceives(a *worldAgent, k flow.Key, s *flow.Segment) {
	for _, c := range w.callers {
		if c.key != k || !s.Opened || c.open || c.reset {
			continue
		}
		c.open, c.owner, c.seq = true, a.upstream, s.Seq
	}
}

func makePacket(src, dst flow.End, flags byte, seq, ack uint32, data int) []byte {
	return platformtest.Packet(src, dst, flags, seq, ack, make([]byte, data))
}

// send hands a packet to an entry that is up.
func (w *world) send(e *worldEntry, packet []byte) {
	if !e.up {
		return
	}
	s, err := codec.Decode(packet)
	if err != nil {
		w.fail("a caller's packet can't be read: %v", err)
		return
	}
	w.post(func() {
		if e.up {
			e.router.Packet(w.now, &s, packet)
		}
	})
}

// open starts a flow and sends copies of its opening packet until it is open.
func (w *world) open(i int, route netip.AddrPort, pick func() *worldEntry) *worldCaller {
	c := &worldCaller{key: flow.KeyOf(flow.EndOf(addrOf(9, i)), flow.EndOf(route)), opened: w.now}
	w.callers = append(w.callers, c)
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		w.send(pick(), makePacket(c.key.Caller(), c.key.Route(), 1, 7, uint32(copies), 0))
		w.drain()
		if c.open || c.reset {
			break
		}
		w.advance(wait)
	}
	return c
}

// request sends a packet with data on an open flow.
func (w *world) request(c *worldCaller, e *worldEntry) {
	c.sent++
	w.send(e, makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 120))
	w.drain() // all copies that a search made of the packet have arrived
	if c.strayed >= 3 && c.sent >= 3 {
		w.fail("three packets of flow %s reached other upstreams and none its own", c.key)
	}
}
