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
	// directSearches is the number of searches in a tick for which homes get the
	// packet and agents are asked at once. In a storm of searches, which fills the
	// links of small entries, homes get no packet, and the questions to agents wait
	// for the tick and share datagrams.
	directSearches = 4
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
	// settledAfter is the time without a new agent after which an entry takes the
	// set of agents for complete: one that restarts is back sooner.
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
	Zone    string
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

// reply is what an agent said in a search.
type reply struct {
	agent flow.End
	state replyState
	given bool // it got the packet of the search
}

type replyState uint8

const (
	replyMaybe   replyState = iota // its upstream has to tell
	replyBarred                    // the same, but the address has not its service: it is not given the packet
	replyOverdue                   // its upstream was given the packet, and did not return it in time
	replyDenied                    // it does not own the flow
)

// routed is what an entry knows of one flow.
type routed struct {
	state  routeState
	copies uint32 // number of the last copy of the opening packet
	stage  uint8  // of a search: index of the home, then all agents
	owner  flow.End
	homes  flow.Homes
	tried  []flow.End
	asked  int      // agents that a search asked
	heard  []reply  // of those that answered
	held   []byte   // packet that a search is made with
	lent   bool     // the home that is asked has the packet too, and passes it on
	queue  [][]byte // packets that came during the search
	seq    uint32
	since  time.Time // start of the stage
	opened time.Time
	seen   time.Time
}

// Router is the state machine of an entry: it finds the agent for each packet
// of a caller. It is not safe for concurrent use.
type Router struct {
	zone      string
	view      *View
	placement *flow.Placement
	flows     map[flow.Key]*routed
	searching map[flow.Key]*routed
	pending   map[flow.End][]Pair     // registrations to be sent
	asks      map[flow.End][]flow.Key // by agent: flows that it is to be asked for
	searches  int                     // since the last tick
	lookups   int                     // the same, of homes
	out       Outbox
	observe   Observer
	maxAge    time.Duration
	fresh     time.Time
	changed   time.Time // the last new agent was seen
	swept     time.Time
}

// NewRouter returns a router for an entry in the zone. maxAge is the age after
// which flows may be forgotten.
func NewRouter(zone string, maxAge time.Duration, out Outbox, observe Observer) *Router {
	return &Router{
		zone:      zone,
		view:      &View{Fleet: config.Empty()},
		placement: flow.NewPlacement(zone),
		flows:     map[flow.Key]*routed{},
		searching: map[flow.Key]*routed{},
		pending:   map[flow.End][]Pair{},
		asks:      map[flow.End][]flow.Key{},
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
	if slices.ContainsFunc(v.Asked, func(a flow.End) bool { _, known := r.view.Owners[a]; return !known }) {
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
	return flow.Note{Purpose: p, Service: config.ServiceHash(name)}
}

// routeHas reports whether the service has, or lately had, flows of the address:
// a changed configuration leaves open flows where they are.
func (r *Router) routeHas(k flow.Key, service string) bool {
	return slices.Contains(r.view.Past[k.Route().AddrPort()], service)
}

// report adds the version of the routes to a decision.
func (r *Router) report(d Decision) {
	d.Version = r.view.Fleet.RoutesVersion
	r.observe(d)
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
		r.mayHold(now, from, m)
	case KindAnswers:
		r.placement.Report(now, from, m.Load)
		r.answers(now, from, m)
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
		if r.probeNext(now, k, f) {
			continue
		}
		r.report(Decision{What: DecisionNotFound, Key: k, Age: now.Sub(f.opened)})
		delete(r.searching, k)
		f.state, f.held, f.queue = stateLost, nil, nil
	}
	r.flush()
	r.flushAsks(now)
	if now.Sub(r.swept) >= sweepPeriod {
		r.swept = now
		r.sweep(now)
	}
}

// sortedKeys makes the order in which flows are handled the same each time.
func sortedKeys[V any](flows map[flow.Key]V) []flow.Key {
	return slices.SortedFunc(maps.Keys(flows), func(x, y flow.Key) int { return bytes.Compare(x[:], y[:]) })
}

// sweep forgets the flows that are idle or old.
func (r *Router) sweep(now time.Time) {
	idle := r.view.Fleet.FlowIdle + closedLife
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
