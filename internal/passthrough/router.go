package passthrough

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

const (
	// lookupWait bounds the wait for the answer of a home or of all agents:
	// some hops between availability zones and a busy process.
	lookupWait = 60 * time.Millisecond
	// searchPause is the time between two searches for one flow; the ends send
	// a packet again after 200 ms at the earliest.
	searchPause = 300 * time.Millisecond
	// maxTries bounds the agents that are offered one copy of an opening
	// packet.
	maxTries = 4
	// lastCopy is the number of the copy after which a caller sends no other.
	lastCopy = 2
	// searchAll is the number of agents up to which all are asked for a flow;
	// in larger fleets only those of the services of its route.
	searchAll = 64
	// freshConfig is the age of the configuration up to which an unknown
	// address is certainly no route.
	freshConfig = 2 * time.Second
	// maxQueue bounds the packets of one flow that wait for a search: a
	// request of a few kilobytes.
	maxQueue = 8
	// settledAfter is the time without a change of the set of agents after which
	// an entry takes it for complete: an agent that restarts is back sooner.
	settledAfter = 500 * time.Millisecond
	// parkedLife is the time after the last packet of a flow for which a search
	// waits for the agents to settle.
	parkedLife = 2 * time.Second
	// stageParked marks a search that waits for that.
	stageParked = flow.HomeCount + 1
	// closedLife is how long a flow is kept after its idle time.
	closedLife = 2 * time.Second
	// sweepPeriod is the time between two looks for flows to forget.
	sweepPeriod = time.Second
)

// View is what an entry knows of the fleet. It is immutable.
type View struct {
	Self    flow.End
	Entries []flow.End              // data addresses of live entries, the own one included
	Agents  map[uint16][]flow.Agent // by service ID: agents that may take new flows
	Owners  map[flow.End]Owner      // all agents that may own flows
	Asked   []flow.End              // the same agents in the order of their addresses
	Fleet   *config.Fleet
	// Past are the services that each address had as long as flows may last.
	Past map[netip.AddrPort][]string
}

// Owner is an agent that may own flows.
type Owner struct {
	Service string
	// Announced reports whether its upstream has announced itself to this process
	// of the agent.
	Announced bool
}

// Outbox sends what a Router decides.
type Outbox interface {
	// Carry hands a caller's packet to an agent.
	Carry(agent flow.End, n flow.Note, packet []byte)
	// Ask asks an agent whether it owns the flow of a packet.
	Ask(agent flow.End, n flow.Note, packet []byte)
	// Tell sends a message to an entry.
	Tell(entry flow.End, m *Message)
	// Reset ends the caller's side of a flow.
	Reset(k flow.Key, seq uint32)
}

type routeState uint8

const (
	statePlacing   routeState = iota // offered to owner, which has not answered
	stateOwned                       // owner holds the flow
	stateSearching                   // the owner is asked for
	stateLost                        // the last search found nobody
	stateGone                        // nobody owns the flow
)

// routed is what an entry knows of one flow.
type routed struct {
	state  routeState
	copies uint32 // number of the last copy of the opening packet
	stage  uint8  // of a search: index of the home, then all agents
	owner  flow.End
	homes  flow.Homes
	tried  []flow.End
	asked  int        // agents that a search asked
	denied []flow.End // agents that said that they do not own the flow
	probed []flow.End // agents whose upstreams have to tell
	held   []byte     // packet that a search is made with
	queue  [][]byte   // packets that came during the search
	seq    uint32
	since  time.Time // start of the stage
	// sounded is set once the held packet was given to the agents in probed.
	sounded bool
	opened  time.Time
	seen    time.Time
}

// Router is the state machine of an entry: it finds the agent for each packet
// of a caller. It is not safe for concurrent use.
type Router struct {
	view      *View
	placement *flow.Placement
	flows     map[flow.Key]*routed
	searching map[flow.Key]*routed
	pending   map[flow.End][]Pair // registrations to be sent
	out       Outbox
	observe   Observer
	maxAge    time.Duration
	fresh     time.Time
	changed   time.Time // last change of the set of agents
	swept     time.Time
}

// NewRouter returns a router for an entry in the zone. maxAge is the age after
// which flows may be forgotten.
func NewRouter(zone string, maxAge time.Duration, out Outbox, observe Observer) *Router {
	return &Router{
		view:      &View{Fleet: config.Empty()},
		placement: flow.NewPlacement(zone),
		flows:     map[flow.Key]*routed{},
		searching: map[flow.Key]*routed{},
		pending:   map[flow.End][]Pair{},
		out:       out,
		observe:   observe,
		maxAge:    maxAge,
	}
}

// Flows returns the number of flows that are known.
func (r *Router) Flows() int { return len(r.flows) }

// SetFresh tells when the configuration was last known to be the latest.
func (r *Router) SetFresh(at time.Time) { r.fresh = at }

// SetView puts another view in force. Owners of flows are told to entries that
// became homes.
func (r *Router) SetView(now time.Time, v *View) {
	entriesChanged := !slices.Equal(r.view.Entries, v.Entries)
	if !slices.Equal(r.view.Asked, v.Asked) {
		r.changed = now
	}
	r.view = v
	if !entriesChanged {
		return
	}
	for k, f := range r.flows {
		if f.state == stateOwned {
			r.register(k, f)
		}
	}
}

// Forget lets homes that restarted hear of all flows again.
func (r *Router) Forget(entry flow.End) {
	for k, f := range r.flows {
		for i, h := range f.homes {
			if h == entry {
				f.homes[i] = flow.End{}
				r.register(k, f)
			}
		}
	}
}

// Packet routes one packet of a caller.
func (r *Router) Packet(now time.Time, s *flow.Segment, packet []byte) {
	k := s.FromCaller()
	f := r.flows[k]
	if s.Opening {
		r.open(now, k, f, s, packet)
		return
	}
	if f == nil {
		f = &routed{state: stateLost, opened: now}
		r.flows[k] = f
	}
	f.seen, f.seq = now, s.Ack
	if f.state == stateOwned && !r.mayOwn(f.owner) || f.state == statePlacing && now.Sub(f.since) >= lookupWait {
		// The owner is gone, or a copy of the opening packet that another entry
		// got has opened the flow.
		f.state, f.since = stateLost, time.Time{}
	}
	switch f.state {
	case stateOwned, statePlacing:
		r.out.Carry(f.owner, r.note(k, flow.PurposeOwner, f.owner), packet)
	case stateSearching:
		if len(f.queue) < maxQueue {
			f.queue = append(f.queue, bytes.Clone(packet))
		}
	case stateLost:
		if now.Sub(f.since) >= searchPause {
			r.startSearch(now, k, f, packet)
		}
	case stateGone:
		if !s.Reset {
			r.out.Reset(k, s.Ack)
		}
	}
}

// mayOwn reports whether the agent is there or went a short time ago.
func (r *Router) mayOwn(agent flow.End) bool {
	_, ok := r.view.Owners[agent]
	return ok
}

func (r *Router) note(k flow.Key, p flow.Purpose, agent flow.End) flow.Note {
	name := r.view.Owners[agent].Service
	if !r.routeHas(k, name) {
		return flow.Note{Purpose: p}
	}
	return flow.Note{Purpose: p, Service: config.ServiceTag(name)}
}

// routeHas reports whether the service has, or lately had, flows of the address:
// a changed configuration leaves open flows where they are.
func (r *Router) routeHas(k flow.Key, service string) bool {
	return slices.Contains(r.view.Past[k.Route().AddrPort()], service)
}

// open places a new flow, or passes on a copy of its opening packet.
func (r *Router) open(now time.Time, k flow.Key, f *routed, s *flow.Segment, packet []byte) {
	route := r.view.Fleet.Routes[k.Route().AddrPort()]
	if route == nil {
		r.noRoute(now, k, s)
		return
	}
	if f == nil || f.state != stateOwned && f.state != statePlacing || f.state == stateOwned && !r.mayOwn(f.owner) {
		f = &routed{opened: now}
		r.flows[k] = f
		delete(r.searching, k)
	}
	f.seen, f.seq = now, 0
	if f.state == stateOwned {
		r.out.Carry(f.owner, r.note(k, flow.PurposeOpen, f.owner), packet)
		return
	}
	if !f.owner.IsZero() {
		if s.Ack <= f.copies {
			return
		}
		// The agent that got the last copy has not answered it.
		r.placement.Avoid(now, f.owner)
		f.tried = append(f.tried[:0], f.owner)
	} else {
		f.tried = f.tried[:0]
	}
	f.copies = s.Ack
	r.place(now, k, f, route, packet, flow.RefusalNone)
}

// report adds the version of the routes to a decision.
func (r *Router) report(d Decision) {
	d.Version = r.view.Fleet.Version
	r.observe(d)
}

// noRoute answers an opening packet for an address that is no route.
func (r *Router) noRoute(now time.Time, k flow.Key, _ *flow.Segment) {
	if now.Sub(r.fresh) > freshConfig {
		r.report(Decision{What: DecisionNoRoute, Reason: "configuration-old", Key: k})
		return
	}
	r.report(Decision{What: DecisionNoRoute, Reason: "reset", Key: k})
	r.out.Reset(k, 0)
}

// place offers a new flow to an agent that has not refused it.
func (r *Router) place(now time.Time, k flow.Key, f *routed, route *config.Route, packet []byte, last flow.Refusal) {
	service := flow.ServiceOf(route, k)
	agents := r.view.Agents[config.ServiceID(service)]
	purpose := flow.PurposeOpen
	var agent flow.Agent
	ok := false
	if len(f.tried) < maxTries {
		agent, ok = r.placement.Choose(now, k, agents, f.tried)
	}
	if !ok && last == flow.RefusalBusy {
		// All are busy: the least loaded one queues the flow.
		purpose = flow.PurposeOpenIn
		agent, ok = r.placement.Choose(now, k, agents, nil)
	}
	if !ok {
		r.nobody(k, f, last)
		return
	}
	f.state, f.owner, f.since = statePlacing, agent.Addr, now
	f.tried = append(f.tried, agent.Addr)
	r.report(Decision{What: DecisionPlace, Reason: last.String(), Key: k, Agent: agent.Addr, Tries: len(f.tried)})
	r.out.Carry(agent.Addr, flow.Note{Purpose: purpose, Service: config.ServiceTag(service)}, packet)
}

// nobody ends an attempt that no agent takes. As long as the caller sends
// another copy, which an agent may take by then, there is no answer.
func (r *Router) nobody(k flow.Key, f *routed, last flow.Refusal) {
	reason := last.String()
	if last == flow.RefusalNone {
		reason = "no-agent"
	}
	r.report(Decision{What: DecisionNobody, Reason: reason, Key: k, Tries: len(f.tried)})
	f.state, f.owner, f.since = stateLost, flow.End{}, time.Time{}
	if f.copies < lastCopy {
		return
	}
	delete(r.flows, k)
	r.out.Reset(k, 0)
}

// Message takes a message from an agent or another entry.
func (r *Router) Message(now time.Time, from flow.End, m *Message) {
	switch m.Kind {
	case KindOwned:
		r.owned(now, from, m)
	case KindRefused:
		r.placement.Report(now, from, m.Load)
		r.refused(now, from, m)
	case KindNotHeld:
		r.notHeld(now, from, m)
	case KindLoad:
		r.placement.Report(now, from, m.Load)
	case KindLookup:
		r.lookup(from, m)
	case KindUnknown:
		r.unknown(now, from, m)
	case KindRegister:
		r.registered(now, m)
	case KindMayHold:
		r.mayHold(from, m)
	}
}

func (r *Router) owned(now time.Time, from flow.End, m *Message) {
	if m.Owner.IsZero() {
		m.Owner = from // the agent speaks of itself
		r.placement.Report(now, from, m.Load)
	}
	f := r.flows[m.Key]
	if f == nil {
		f = &routed{opened: now, seen: now}
		r.flows[m.Key] = f
	}
	if f.state == stateOwned && f.owner == m.Owner {
		return
	}
	what := DecisionOwned
	if f.state != statePlacing {
		what = DecisionFound
	}
	r.report(Decision{What: what, Key: m.Key, Agent: m.Owner, Tries: len(f.tried), Age: now.Sub(f.opened)})
	delete(r.searching, m.Key)
	if f.state == stateSearching && f.stage >= flow.HomeCount && len(f.held) > 0 && !f.sounded {
		r.out.Carry(m.Owner, r.note(m.Key, flow.PurposeOwner, m.Owner), f.held)
	}
	f.state, f.owner, f.held, f.tried = stateOwned, m.Owner, nil, nil
	f.homes = flow.Homes{}
	r.register(m.Key, f)
	r.release(m.Key, f)
}

// release passes on what came during a search.
func (r *Router) release(k flow.Key, f *routed) {
	for _, packet := range f.queue {
		r.out.Carry(f.owner, r.note(k, flow.PurposeOwner, f.owner), packet)
	}
	f.queue = nil
}

// register tells the homes of a flow its owner, those excepted that know it.
func (r *Router) register(k flow.Key, f *routed) {
	homes := flow.HomesOf(k, r.view.Entries)
	for _, h := range homes {
		if !h.IsZero() && h != r.view.Self && !f.homes.Has(h) {
			r.pending[h] = append(r.pending[h], Pair{Key: k, Owner: f.owner})
		}
	}
	f.homes = homes
}

func (r *Router) refused(now time.Time, from flow.End, m *Message) {
	f := r.flows[m.Key]
	r.report(Decision{What: DecisionRefused, Reason: m.Reason.String(), Key: m.Key, Agent: from})
	if f == nil || f.state != statePlacing || f.owner != from {
		return
	}
	route := r.view.Fleet.Routes[m.Key.Route().AddrPort()]
	if route == nil {
		r.nobody(m.Key, f, m.Reason)
		return
	}
	r.place(now, m.Key, f, route, m.Packet, m.Reason)
}

// notHeld looks elsewhere for a flow that an agent does not hold.
func (r *Router) notHeld(now time.Time, from flow.End, m *Message) {
	f := r.flows[m.Key]
	if f != nil && f.state == stateSearching && f.stage == flow.HomeCount {
		r.denied(now, from, m.Key, f)
		return
	}
	if f == nil || f.owner != from || len(m.Packet) == 0 {
		return
	}
	r.report(Decision{What: DecisionMoved, Key: m.Key, Agent: from, Age: now.Sub(f.opened)})
	f.owner = flow.End{}
	f.held = append(f.held[:0], m.Packet...)
	f.state, f.stage = stateSearching, flow.HomeCount
	r.searching[m.Key] = f
	r.askAgents(now, m.Key, f, from)
}

// denied counts an agent that does not own a flow. When all have said so the
// caller is told, so that it need not wait for its deadline.
func (r *Router) denied(now time.Time, from flow.End, k flow.Key, f *routed) {
	if slices.Contains(f.denied, from) {
		return
	}
	f.denied = append(f.denied, from)
	f.probed = slices.DeleteFunc(f.probed, func(e flow.End) bool { return e == from })
	if len(f.denied) < f.asked {
		r.probe(k, f)
		return
	}
	delete(r.searching, k)
	if !r.knowsAgents(now) {
		// Asks again when the set of agents has settled.
		r.report(Decision{What: DecisionNotFound, Reason: "agents-unsettled", Key: k, Tries: f.asked})
		f.stage = stageParked
		r.searching[k] = f
		return
	}
	f.held, f.queue = nil, nil
	r.report(Decision{What: DecisionLost, Key: k, Tries: f.asked})
	f.state = stateGone
	r.out.Reset(k, f.seq)
}

// knowsAgents reports whether no agent has come or gone for a while, so that the
// known ones are all that can own a flow.
func (r *Router) knowsAgents(now time.Time) bool {
	return !r.changed.IsZero() && now.Sub(r.changed) >= settledAfter
}

// mayHold notes an agent whose upstream has to tell.
func (r *Router) mayHold(from flow.End, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateSearching || f.stage != flow.HomeCount || slices.Contains(f.probed, from) {
		return
	}
	f.probed = append(f.probed, from)
	r.probe(m.Key, f)
}

// probe gives the packet of a search to the agents whose upstreams have to tell,
// once all agents with an upstream have answered. A missing one may be the
// owner, and the packets would reach other upstreams only.
func (r *Router) probe(k flow.Key, f *routed) {
	if f.sounded || len(f.probed) == 0 || r.ownerMissing(k, f) {
		return
	}
	f.sounded = true
	for _, agent := range f.probed {
		r.out.Carry(agent, r.note(k, flow.PurposeSearch, agent), f.held)
	}
}

// ownerMissing reports whether an agent that was asked and whose upstream has
// announced itself has not answered yet.
func (r *Router) ownerMissing(k flow.Key, f *routed) bool {
	if len(f.denied)+len(f.probed) >= f.asked {
		return false
	}
	for _, agent := range r.view.Asked {
		o := r.view.Owners[agent]
		if !o.Announced || slices.Contains(f.denied, agent) || slices.Contains(f.probed, agent) {
			continue
		}
		if len(r.view.Asked) <= searchAll || r.routeHas(k, o.Service) {
			return true
		}
	}
	return false
}

// startSearch asks the homes of the flow, one after the other, then all agents.
func (r *Router) startSearch(now time.Time, k flow.Key, f *routed, packet []byte) {
	f.state, f.stage = stateSearching, 0
	f.held = append(f.held[:0], packet...)
	r.searching[k] = f
	r.askNext(now, k, f)
}

func (r *Router) askNext(now time.Time, k flow.Key, f *routed) {
	homes := flow.HomesOf(k, r.view.Entries)
	for ; f.stage < flow.HomeCount; f.stage++ {
		h := homes[f.stage]
		if h.IsZero() || h == r.view.Self {
			continue
		}
		f.since = now
		r.report(Decision{What: DecisionLookup, Key: k, Agent: h, Tries: int(f.stage) + 1})
		r.out.Tell(h, &Message{Kind: KindLookup, Key: k, Packet: f.held})
		return
	}
	r.askAgents(now, k, f, flow.End{})
}

// askAgents asks all agents that may own the flow, except one.
func (r *Router) askAgents(now time.Time, k flow.Key, f *routed, except flow.End) {
	f.since, f.stage = now, flow.HomeCount
	all := len(r.view.Owners) <= searchAll
	f.asked, f.denied, f.probed, f.sounded = 0, f.denied[:0], f.probed[:0], false
	for _, agent := range r.view.Asked {
		if agent == except || !all && !r.routeHas(k, r.view.Owners[agent].Service) {
			continue
		}
		f.asked++
		r.out.Ask(agent, r.note(k, flow.PurposeAsk, agent), f.held)
	}
	r.report(Decision{What: DecisionSearch, Key: k, Tries: f.asked})
}

// lookup answers another entry that asks for the owner of a flow, and hands the
// packet on.
func (r *Router) lookup(from flow.End, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateOwned {
		r.out.Tell(from, &Message{Kind: KindUnknown, Key: m.Key})
		return
	}
	r.out.Tell(from, &Message{Kind: KindOwned, Key: m.Key, Owner: f.owner})
	r.out.Carry(f.owner, r.note(m.Key, flow.PurposeOwner, f.owner), m.Packet)
}

func (r *Router) unknown(now time.Time, from flow.End, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateSearching || f.stage >= flow.HomeCount {
		return
	}
	if flow.HomesOf(m.Key, r.view.Entries)[f.stage] != from {
		return
	}
	f.stage++
	r.askNext(now, m.Key, f)
}

func (r *Router) registered(now time.Time, m *Message) {
	for _, p := range m.Pairs {
		f := r.flows[p.Key]
		if f == nil {
			f = &routed{opened: now, seen: now}
			r.flows[p.Key] = f
		}
		if f.state == stateOwned && f.owner == p.Owner {
			continue
		}
		delete(r.searching, p.Key)
		f.state, f.owner, f.held = stateOwned, p.Owner, nil
		f.homes = flow.HomesOf(p.Key, r.view.Entries)
		r.release(p.Key, f)
	}
}

// Tick goes on with searches, sends registrations and forgets old flows.
func (r *Router) Tick(now time.Time) {
	for _, k := range sortedKeys(r.searching) {
		f := r.searching[k]
		if f.stage == stageParked {
			r.resume(now, k, f)
			continue
		}
		if now.Sub(f.since) < lookupWait {
			continue
		}
		if f.stage < flow.HomeCount {
			f.stage++
			r.askNext(now, k, f)
			continue
		}
		r.report(Decision{What: DecisionNotFound, Key: k, Age: now.Sub(f.opened)})
		delete(r.searching, k)
		f.state, f.held, f.queue = stateLost, nil, nil
	}
	r.flush()
	if now.Sub(r.swept) >= sweepPeriod {
		r.swept = now
		r.sweep(now)
	}
}

// resume searches again for a flow that all agents known before have denied.
func (r *Router) resume(now time.Time, k flow.Key, f *routed) {
	if now.Sub(f.seen) > parkedLife {
		delete(r.searching, k)
		f.state, f.held, f.queue = stateLost, nil, nil
		return
	}
	if r.knowsAgents(now) {
		r.askAgents(now, k, f, flow.End{})
	}
}

// sortedKeys makes the order in which flows are handled the same each time.
func sortedKeys[V any](flows map[flow.Key]V) []flow.Key {
	return slices.SortedFunc(maps.Keys(flows), func(x, y flow.Key) int { return bytes.Compare(x[:], y[:]) })
}

func (r *Router) flush() {
	for _, home := range slices.SortedFunc(maps.Keys(r.pending), flow.End.Compare) {
		pairs := r.pending[home]
		for len(pairs) > 0 {
			n := min(len(pairs), maxPairs)
			r.out.Tell(home, &Message{Kind: KindRegister, Pairs: pairs[:n]})
			pairs = pairs[n:]
		}
		delete(r.pending, home)
	}
}

// sweep forgets the flows that are idle or old.
func (r *Router) sweep(now time.Time) {
	idle := r.view.Fleet.Idle + closedLife
	for k, f := range r.flows {
		limit := idle
		if f.state == stateOwned && f.homes.Has(r.view.Self) {
			limit = r.maxAge // a home sees no packets of the flow
		}
		if now.Sub(f.seen) > limit {
			delete(r.flows, k)
			delete(r.searching, k)
		}
	}
}
