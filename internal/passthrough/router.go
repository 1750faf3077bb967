package passthrough

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/orphan"
)

const (
	// maxDirectSearches is the number of searches in a tick in which replicas
	// receive the packet and agents are queried immediately. In further searches,
	// which could saturate the links of small entries, replicas receive no packet,
	// and the queries to agents wait for the tick and share datagrams.
	maxDirectSearches = 4
	// maxDirectQueries bounds the queries of these searches beyond the first one, each a
	// datagram with a reply: 240 of them in a tick of 25 ms fill a link of 10 Mbit/s.
	maxDirectQueries = 64
	// lookupTimeout bounds the wait for the answer of a replica or of all agents:
	// some hops between availability zones and a busy process.
	lookupTimeout = 60 * time.Millisecond
	// searchInterval is the shortest time between two searches for one flow; callers
	// and upstreams retransmit a packet after 200 ms at the earliest.
	searchInterval = 300 * time.Millisecond
	// maxTries is the maximum number of agents that one copy of an opening packet is
	// offered to.
	maxTries = 4
	// maxOverflows is the maximum number of agents of other services of the route that one
	// copy of an opening packet is offered to when those of its own service are busy.
	maxOverflows = 2
	// lastCopyNumber is the number of the last copy that a caller sends of an
	// opening packet.
	lastCopyNumber = 2
	// searchAllLimit is the number of agents up to which all are queried for a flow at
	// once; in larger fleets those of the services of its route are queried first.
	searchAllLimit = 64
	// searchProofLimit is the number of agents up to which all are queried before a
	// flow is reset. Queries to more would take over 100 KB for one flow; its caller
	// waits for its deadline instead.
	searchProofLimit = 2048
	// verifiedConfigAge is the time since the last verification of the
	// configuration up to which an address that is not in it is known to have no
	// route.
	verifiedConfigAge = 2 * time.Second
	// maxQueuedPackets bounds the packets of one flow that are queued during a
	// search: a request of a few kilobytes.
	maxQueuedPackets = 8
	// waitingSearchTTL is how long after the last packet of a flow its search waits
	// for agents.
	waitingSearchTTL = 2 * time.Second
	// probeInterval is the shortest time between two copies of a search's packet to
	// one agent.
	probeInterval = time.Second
	// restartMargin is subtracted from the time in which flows count as disrupted by a
	// restart: this entry learns of an agent's start later than it happens, and a reset
	// takes its time.
	restartMargin = 500 * time.Millisecond
	// stageAwaitAgents is the stage of a search that waits for the set of agents to
	// be complete, or for agents that have not answered.
	stageAwaitAgents = flow.ReplicaCount + 1
	// closedFlowTTL is how long a flow is kept after its idle timeout.
	closedFlowTTL = 2 * time.Second
	// sweepPeriod is the interval at which expired flows are removed.
	sweepPeriod = time.Second
)

// View is an entry's immutable snapshot of the fleet.
type View struct {
	Self       flow.Endpoint
	Entries    []flow.Endpoint         // data addresses of live entries, including this one
	Agents     map[uint16][]flow.Agent // by service ID: agents that new flows may be placed on
	Owners     map[flow.Endpoint]Owner // all agents that may own flows
	OwnerAddrs []flow.Endpoint         // addresses of the same agents, sorted
	Fleet      *config.Fleet
	// RecentServices are the services that each address has, or had within the
	// maximum age of a flow.
	RecentServices map[netip.AddrPort][]string

	excluded map[uint16][]excludedAgent // by service ID: agents that get no new flows
	members  []membership.Record        // that the view was built from
}

// Owner is an agent that may own flows.
type Owner struct {
	Service string
	Zone    string
	// Announced reports whether its upstream has announced itself to this process
	// of the agent.
	Announced bool
	// Departed reports whether it is no longer a member. It may come back with the flows
	// of its upstream.
	Departed bool
	// NoUpstream reports whether the agent has published that no upstream is running on
	// its instance, so that it owns no flow.
	NoUpstream  bool
	Incarnation uint64
	Since       time.Time // when this process of the agent was first seen
}

// Outbox sends the packets and messages of a Router.
type Outbox interface {
	// Forward sends a caller's packet to an agent.
	Forward(agent flow.Endpoint, meta flow.Metadata, packet []byte)
	// Query queries an agent whether it owns the flow of a packet.
	Query(agent flow.Endpoint, meta flow.Metadata, packet []byte)
	// SendMessage sends a message to an entry or an agent.
	SendMessage(to flow.Endpoint, m *Message)
	// Reset resets a flow at its caller.
	Reset(k flow.Key, seq uint32)
}

type routedState uint8

const (
	statePlacing   routedState = iota // offered to the agent in owner, which has not answered yet
	stateOwned                        // the agent in owner holds the flow
	stateSearching                    // a search for the owner runs
	stateUnknown                      // the owner is unknown; the next packet may start a search
	stateUnowned                      // no agent owns the flow
)

// reply is an agent's answer in a search.
type reply struct {
	agent     flow.Endpoint
	state     replyState
	hasPacket bool // it received the packet of the search
}

type replyState uint8

const (
	replyUnknown      replyState = iota // only its upstream can determine whether it holds the flow
	replyNotProbeable                   // the same, but the address does not have its service, so it must not receive the packet
	replyProbeTimeout                   // its upstream received the packet and did not return it in time
	replyDenied                         // it does not own the flow
	replyHalfOpen                       // its upstream accepted the flow, and the caller's packet acknowledges another acceptance
)

// routedFlow is an entry's state of one flow.
type routedFlow struct {
	state            routedState
	copies           uint32 // number of the last copy of the opening packet
	stage            uint8  // of a search: index of the queried replica, then flow.ReplicaCount for all agents, or stageAwaitAgents
	owner            flow.Endpoint
	replicas         flow.Replicas
	tried            []flow.Endpoint
	overflows        uint8     // offers of the last copy to agents of other services
	offeredBusy      bool      // the last offer allowed the agent to be busy, so its refusal as busy ends the attempt
	queried          int       // number of agents that the search queried
	queriedAll       bool      // all agents were queried, not only those of the services of the route
	replies          []reply   // of the agents that answered
	searchPacket     []byte    // packet that started the search
	replicaHasPacket bool      // the queried replica received the packet too, and forwards it to the owner
	queued           [][]byte  // packets received during the search
	resetSeq         uint32    // sequence number for a reset of the flow
	resetPending     bool      // of a flow without an owner: its reset has not been sent yet
	stageStart       time.Time // start of the placement or of the stage of the search
	searchedAt       time.Time // when all agents without an answer were last queried
	probedAt         time.Time // when agents last received the packet of the search
	offers           []offer   // of the opening, until the caller chooses; only with hedges
	chosen           bool      // the caller acknowledged the acceptance of the owner
	openedAt         time.Time
	lastSeen         time.Time

	// relayed are the agents whose last probe of this search was relayed.
	relayed []flow.Endpoint
	// probeAttempts is the number of probes of a zone so far, which selects the relay.
	probeAttempts uint8
}

// Router is the state machine of an entry: it selects the agent for each packet
// of a caller. It is not safe for concurrent use.
type Router struct {
	zone                 string
	view                 *View
	placement            *flow.Placement
	flows                map[flow.Key]*routedFlow
	searching            map[flow.Key]*routedFlow
	pendingRegistrations map[flow.Endpoint][]Registration // by replica
	pendingQueries       map[flow.Endpoint][]flow.Key     // by agent
	unanswered           unansweredQueries
	withoutUpstream      withoutUpstream
	resets               resetPacer
	startedAt            time.Time // when the first opening packet arrived
	heldOpenings         heldOpenings
	orphans              *orphan.Verifier
	hedger               *hedger // nil: no hedges
	searchesInTick       int     // searches that queried agents since the last tick
	lookupsInTick        int     // queries to replicas since the last tick
	out                  Outbox
	observe              Observer
	paused               func() bool // reports whether the process was paused since the last tick
	maxAge               time.Duration
	verifiedAt           time.Time
	joins                flow.JoinWave // of agents that were added to the view
	settledReported      bool          // since the last new agent
	restartPeriod        time.Duration // after the start of an agent, in which its flows count as disrupted by it
	joined               bool          // the set of agents was taken over from a peer
	agentStartedAt       time.Time     // when the last new or restarted agent was added to the view
	lastSweep            time.Time
}

// NewRouter returns a router for an entry in the zone. maxAge is the maximum age
// of a flow.
func NewRouter(zone string, maxAge time.Duration, out Outbox, observe Observer) *Router {
	return &Router{
		zone:                 zone,
		view:                 &View{Fleet: config.Empty()},
		placement:            flow.NewPlacement(zone),
		flows:                map[flow.Key]*routedFlow{},
		searching:            map[flow.Key]*routedFlow{},
		pendingRegistrations: map[flow.Endpoint][]Registration{},
		pendingQueries:       map[flow.Endpoint][]flow.Key{},
		unanswered:           unansweredQueries{},
		withoutUpstream:      withoutUpstream{},
		heldOpenings:         heldOpenings{},
		orphans:              orphan.New(maxQueries),
		out:                  out,
		observe:              observe,
		paused:               func() bool { return false },
		joined:               true,
		maxAge:               maxAge,
	}
}

// Flows returns the number of known flows.
func (r *Router) Flows() int { return len(r.flows) }

// SetPaused sets the function that reports whether the process was paused since the last
// tick, so that the time of the last verification says nothing.
func (r *Router) SetPaused(paused func() bool) { r.paused = paused }

// SetDisrupted sets how long after the start of an agent what happens to its flows counts
// as caused by the start.
func (r *Router) SetDisrupted(d time.Duration) { r.restartPeriod = max(0, d-restartMargin) }

// SetJoined sets whether the view contains what a peer knows, so that no agents are
// missing in it that have run for longer than this entry.
func (r *Router) SetJoined(joined bool) { r.joined = joined }

// SetVerifiedAt records when the configuration was last verified as the store's
// latest.
func (r *Router) SetVerifiedAt(at time.Time) { r.verifiedAt = at }

// SetView replaces the view. If the entries changed, the owners of flows are
// registered with their new replicas.
func (r *Router) SetView(now time.Time, v *View) {
	entriesChanged := !slices.Equal(r.view.Entries, v.Entries)
	r.recordStartedAgents(now, v)
	r.verifyRestarted(now, v)
	r.view = v
	r.setResetRate()
	r.placeHeldOpenings(now)
	if !entriesChanged {
		return
	}
	for k, f := range r.flows {
		if f.state == stateOwned {
			r.register(k, f)
		}
	}
}

// recordStartedAgents records whether the new view has agents that the current one
// lacks, or that have restarted.
func (r *Router) recordStartedAgents(now time.Time, v *View) {
	added := 0
	for _, a := range v.OwnerAddrs {
		before, known := r.view.Owners[a]
		if !known {
			added++
		}
		if !known || before.Incarnation != v.Owners[a].Incarnation {
			r.agentStartedAt = now
		}
	}
	if added > 0 {
		r.joins.Joined(now, added)
		r.settledReported = false
	}
}

// Packet routes one packet of a caller.
func (r *Router) Packet(now time.Time, s *flow.Segment, packet []byte) {
	k := s.KeyFromCaller()
	f := r.flows[k]
	if s.Opening {
		if !r.holdOpening(now, k, s, packet) {
			r.openFlow(now, k, f, s, packet)
		}
		return
	}
	if f == nil {
		f = &routedFlow{state: stateUnknown, openedAt: now}
		r.flows[k] = f
	}
	f.lastSeen, f.resetSeq = now, s.Ack
	if f.state == stateOwned && !r.mayOwn(f.owner) || f.state == statePlacing && now.Sub(f.stageStart) >= lookupTimeout {
		// The owner has left, or a copy of the opening packet that another entry
		// received has opened the flow.
		f.state, f.stageStart = stateUnknown, time.Time{}
	}
	r.chooseOwner(now, k, f, s)
	switch f.state {
	case stateOwned, statePlacing:
		r.out.Forward(f.owner, r.metadata(k, r.ownerPurpose(), f.owner), packet)
	case stateSearching:
		if len(f.queued) < maxQueuedPackets {
			f.queued = append(f.queued, bytes.Clone(packet))
		}
	case stateUnknown:
		if now.Sub(f.stageStart) >= searchInterval {
			r.startSearch(now, k, f, packet)
		}
	case stateUnowned:
		if !s.Reset && !f.resetPending {
			r.out.Reset(k, s.Ack)
		}
	}
}

// mayOwn reports whether the agent is a member or departed recently, so that it may
// own flows.
func (r *Router) mayOwn(agent flow.Endpoint) bool {
	_, ok := r.view.Owners[agent]
	return ok
}

func (r *Router) metadata(k flow.Key, p flow.Purpose, agent flow.Endpoint) flow.Metadata {
	name := r.view.Owners[agent].Service
	if !r.routeHasService(k, name) {
		return flow.Metadata{Purpose: p}
	}
	return flow.Metadata{Purpose: p, Service: config.ServiceHash(name)}
}

// routeHasService reports whether the flow's address has, or recently had, the
// service: a change of the configuration does not move open flows.
func (r *Router) routeHasService(k flow.Key, service string) bool {
	return slices.Contains(r.view.RecentServices[k.Route().AddrPort()], service)
}

// report passes a decision to the observer with the version of the routes.
func (r *Router) report(d Decision) {
	d.Version = r.view.Fleet.RoutesVersion
	r.observe(d)
}

// Message handles a message from an agent or another entry.
func (r *Router) Message(now time.Time, from flow.Endpoint, m *Message) {
	r.unanswered.heard(from)
	r.recordDenial(from, m)
	r.handleOrphanReply(from, m)
	switch m.Kind {
	case KindOwned:
		r.handleOwned(now, from, m)
	case KindRefused:
		r.placement.Report(now, from, m.Load)
		r.handleRefused(now, from, m)
	case KindNotHeld:
		r.handleNotHeld(now, from, m)
	case KindLoad:
		r.placement.Report(now, from, m.Load)
	case KindLookup:
		r.handleLookup(from, m)
	case KindUnknown:
		r.handleUnknown(now, from, m)
	case KindRegister:
		r.handleRegister(now, m)
	case KindMayHold:
		r.handleMayHold(now, from, m)
	case KindQueryReply:
		r.placement.Report(now, from, m.Load)
		r.handleQueryReply(now, from, m)
	}
}

// Tick advances searches, sends registrations and queued queries, and removes
// expired flows.
func (r *Router) Tick(now time.Time) {
	r.reportSettled(now)
	for _, k := range sortedKeys(r.searching) {
		f := r.searching[k]
		if f.stage == stageAwaitAgents {
			r.awaitAgents(now, k, f)
			continue
		}
		if f.stage == flow.ReplicaCount && now.Sub(f.stageStart) >= publishedReplyWait && r.missingReplies(k, f) == 0 {
			r.allDenied(now, k, f)
			continue
		}
		if now.Sub(f.stageStart) < lookupTimeout {
			continue
		}
		if f.stage < flow.ReplicaCount {
			f.stage++
			r.queryNextReplica(now, k, f)
			continue
		}
		if r.probeNext(now, k, f) {
			continue
		}
		r.report(Decision{Kind: DecisionNotFound, Reason: "unanswered", Key: k, Tries: f.queried, Age: now.Sub(f.openedAt)})
		f.stage = stageAwaitAgents
	}
	r.hedgeOpenings(now)
	r.resetUnowned(now)
	r.resetOrphans(now)
	r.placeHeldOpenings(now)
	r.flushRegistrations()
	r.flushQueries(now)
	if now.Sub(r.lastSweep) >= sweepPeriod {
		r.lastSweep = now
		r.sweep(now)
		r.placement.Retain(r.mayOwn)
		r.unanswered.retain(r.mayOwn)
		maps.DeleteFunc(r.withoutUpstream, func(a flow.Endpoint, _ uint64) bool { return !r.mayOwn(a) })
	}
}

// sortedKeys returns the keys in a fixed order, which makes the handling of flows
// deterministic.
func sortedKeys[V any](flows map[flow.Key]V) []flow.Key {
	return slices.SortedFunc(maps.Keys(flows), flow.Key.Compare)
}

// sweep removes expired flows.
func (r *Router) sweep(now time.Time) {
	idle := r.view.Fleet.FlowIdle + closedFlowTTL
	for k, f := range r.flows {
		limit := idle
		if f.state == stateOwned && f.replicas.Has(r.view.Self) {
			limit = r.maxAge // a replica receives no packets of the flow
		}
		if now.Sub(f.lastSeen) > limit {
			delete(r.flows, k)
			delete(r.searching, k)
		}
	}
}
