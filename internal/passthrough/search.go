package passthrough

import (
	"maps"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

// notHeld looks elsewhere for a flow that an agent does not hold.
func (r *Router) notHeld(now time.Time, from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f != nil && f.state == stateSearching && f.stage == flow.ReplicaCount {
		r.denied(now, from, m.Key, f)
		return
	}
	if f == nil || f.owner != from || len(m.Packet) == 0 {
		return
	}
	r.report(Decision{Kind: DecisionMoved, Key: m.Key, Agent: from, Age: now.Sub(f.opened)})
	f.owner = flow.Endpoint{}
	f.held = append(f.held[:0], m.Packet...)
	f.state, f.stage = stateSearching, flow.ReplicaCount
	r.searching[m.Key] = f
	r.askAgents(now, m.Key, f, from)
}

// denied counts an agent that does not own a flow. When all have said so the
// caller is told, so that it need not wait for its deadline.
func (r *Router) denied(now time.Time, from flow.Endpoint, k flow.Key, f *routed) {
	a, _ := f.hear(from)
	if a.state == replyDenied {
		return
	}
	a.state = replyDenied
	if f.denials() < f.asked {
		r.probe(now, k, f)
		return
	}
	delete(r.searching, k)
	if !r.knowsAgents(now) {
		// Asks again when the set of agents has settled.
		r.report(Decision{Kind: DecisionNotFound, Reason: "agents-unsettled", Key: k, Tries: f.asked})
		f.stage = stageParked
		r.searching[k] = f
		return
	}
	f.held, f.queue = nil, nil
	r.report(Decision{Kind: DecisionNoOwner, Key: k, Tries: f.asked})
	f.state = stateGone
	r.out.Reset(k, f.seq)
}

// knowsAgents reports whether no agent has come for a while, so that the known
// ones are all that can own a flow. One that is not asked any more can't own any.
func (r *Router) knowsAgents(now time.Time) bool {
	return !r.changed.IsZero() && now.Sub(r.changed) >= settledAfter
}

// mayHold notes an agent whose upstream has to tell.
func (r *Router) mayHold(now time.Time, from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateSearching || f.stage != flow.ReplicaCount {
		return
	}
	a, first := f.hear(from)
	if !first {
		return
	}
	if !r.routeHas(m.Key, r.view.Owners[from].Service) {
		a.state = replyBarred
	}
	r.probe(now, m.Key, f)
}

// probe gives the packet of a search to agents whose upstreams have to tell, once
// all agents with an upstream have answered. A missing one may be the owner, and
// the packets would reach other upstreams only.
func (r *Router) probe(now time.Time, k flow.Key, f *routed) {
	waiting := func(a reply) bool { return a.state == replyMaybe && a.given }
	if !slices.ContainsFunc(f.heard, waiting) {
		r.probeNext(now, k, f)
	}
}

// probeNext gives the packet to the agents of one availability zone that were not
// given it. The own zone is the first, where most flows were placed: a packet for
// all agents at once fills the links of small instances when many flows are
// searched for, as after all processes were killed. ok is false when nobody is
// left.
func (r *Router) probeNext(now time.Time, k flow.Key, f *routed) (ok bool) {
	zone, ok := r.nextZone(f)
	if !ok || f.stage != flow.ReplicaCount || r.ownerMissing(k, f) {
		return false
	}
	f.since = now
	for i := range f.heard {
		a := &f.heard[i]
		switch {
		case a.state != replyMaybe:
		case a.given:
			a.state = replyOverdue
		case r.view.Owners[a.agent].Zone == zone:
			a.given = true
			r.out.Forward(a.agent, r.note(k, flow.PurposeSearch, a.agent), f.held)
		}
	}
	return true
}

// nextZone returns the zone whose agents get the packet next: the own one, or that
// of the first agent that was not given it. ok is false when there is none.
func (r *Router) nextZone(f *routed) (zone string, ok bool) {
	for _, a := range f.heard {
		if a.state != replyMaybe || a.given {
			continue
		}
		if z := r.view.Owners[a.agent].Zone; !ok || z == r.zone {
			zone, ok = z, true
		}
	}
	return zone, ok
}

// hear returns the reply of an agent; first is set for a new one.
func (f *routed) hear(agent flow.Endpoint) (a *reply, first bool) {
	i := f.replyOf(agent)
	if i < 0 {
		i, first = len(f.heard), true
		f.heard = append(f.heard, reply{agent: agent})
	}
	return &f.heard[i], first
}

// replyOf returns the index of an agent's reply, -1 without one.
func (f *routed) replyOf(agent flow.Endpoint) int {
	return slices.IndexFunc(f.heard, func(a reply) bool { return a.agent == agent })
}

// denials returns the number of agents that do not own the flow.
func (f *routed) denials() int {
	n := 0
	for _, a := range f.heard {
		if a.state == replyDenied {
			n++
		}
	}
	return n
}

// ownerMissing reports whether an agent that was asked and whose upstream has
// announced itself has not answered yet.
func (r *Router) ownerMissing(k flow.Key, f *routed) bool {
	if len(f.heard) >= f.asked {
		return false
	}
	for _, agent := range r.view.OwnerAddrs {
		o := r.view.Owners[agent]
		if !o.Announced || f.replyOf(agent) >= 0 {
			continue
		}
		if len(r.view.OwnerAddrs) <= searchAll || r.routeHas(k, o.Service) {
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
	homes := flow.ReplicasOf(k, r.view.Entries)
	for ; f.stage < flow.ReplicaCount; f.stage++ {
		h := homes[f.stage]
		if h.IsZero() || h == r.view.Self {
			continue
		}
		f.since = now
		r.report(Decision{Kind: DecisionLookup, Key: k, Agent: h, Tries: int(f.stage) + 1})
		m := &Message{Kind: KindLookup, Key: k}
		if f.lent = r.lookups < directSearches; f.lent {
			m.Packet = f.held
		}
		r.lookups++
		r.out.SendMessage(h, m)
		return
	}
	r.askAgents(now, k, f, flow.Endpoint{})
}

// askAgents asks all agents that may own the flow, except one.
func (r *Router) askAgents(now time.Time, k flow.Key, f *routed, except flow.Endpoint) {
	f.since, f.stage = now, flow.ReplicaCount
	all := len(r.view.Owners) <= searchAll
	f.asked, f.heard = 0, f.heard[:0]
	for _, agent := range r.view.OwnerAddrs {
		if agent == except || !all && !r.routeHas(k, r.view.Owners[agent].Service) {
			continue
		}
		f.asked++
		r.ask(agent, k, f)
	}
	r.searches++
	r.report(Decision{Kind: DecisionSearch, Key: k, Tries: f.asked})
}

// ask asks an agent whether it owns the flow, at once or with the next tick.
func (r *Router) ask(agent flow.Endpoint, k flow.Key, f *routed) {
	if r.searches < directSearches {
		r.out.Query(agent, r.note(k, flow.PurposeQuery, agent), f.held)
		return
	}
	r.asks[agent] = append(r.asks[agent], k)
}

// flushAsks sends the questions that waited for the tick.
func (r *Router) flushAsks(now time.Time) {
	r.searches, r.lookups = 0, 0
	for _, agent := range slices.SortedFunc(maps.Keys(r.asks), flow.Endpoint.Compare) {
		for keys := range slices.Chunk(r.asks[agent], maxAsks) {
			for _, k := range keys {
				if f := r.searching[k]; f != nil && f.stage == flow.ReplicaCount {
					f.since = now
				}
			}
			r.out.SendMessage(agent, &Message{Kind: KindQuery, Queries: keys})
		}
	}
	clear(r.asks)
}

// answers takes what an agent says of flows that it was asked for.
func (r *Router) answers(now time.Time, from flow.Endpoint, m *Message) {
	for _, a := range m.Answers {
		one := &Message{Key: a.Key, Load: m.Load}
		switch a.Holding {
		case HoldingOwned:
			r.owned(now, from, one)
		case HoldingNone:
			r.notHeld(now, from, one)
		default:
			r.mayHold(now, from, one)
		}
	}
}

func (r *Router) unknown(now time.Time, from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateSearching || f.stage >= flow.ReplicaCount {
		return
	}
	if flow.ReplicasOf(m.Key, r.view.Entries)[f.stage] != from {
		return
	}
	f.stage++
	r.askNext(now, m.Key, f)
}

// resume searches again for a flow that all agents known before have denied.
func (r *Router) resume(now time.Time, k flow.Key, f *routed) {
	if now.Sub(f.seen) > parkedLife {
		delete(r.searching, k)
		f.state, f.held, f.queue = stateLost, nil, nil
		return
	}
	if r.knowsAgents(now) {
		r.askAgents(now, k, f, flow.Endpoint{})
	}
}
