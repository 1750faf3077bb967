package passthrough

import (
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

// handleNotHeld handles an agent's message that it does not hold a flow: the answer
// to a search, or the start of one if the agent was the flow's owner.
func (r *Router) handleNotHeld(now time.Time, from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f != nil && f.state == stateSearching && f.stage >= flow.ReplicaCount {
		r.handleDenied(now, from, m.Key, f)
		return
	}
	if f == nil || f.owner != from || len(m.Packet) == 0 {
		return
	}
	r.report(Decision{Kind: DecisionMoved, Key: m.Key, Agent: from, Age: now.Sub(f.openedAt)})
	f.owner = flow.Endpoint{}
	f.searchPacket = append(f.searchPacket[:0], m.Packet...)
	f.state = stateSearching
	r.searching[m.Key] = f
	r.queryAgents(now, m.Key, f, from)
}

// handleDenied records an agent that does not own a flow. When all agents have denied
// it, the flow is reset, so that its caller need not wait for a deadline.
func (r *Router) handleDenied(now time.Time, from flow.Endpoint, k flow.Key, f *routedFlow) {
	a, _ := f.replyFrom(from)
	if a.state == replyDenied {
		return
	}
	a.state = replyDenied
	if f.denials() < f.queried {
		r.probe(now, k, f)
		return
	}
	r.allDenied(now, k, f)
}

// allDenied goes on with a search whose queried agents have denied the flow, or need not
// answer.
func (r *Router) allDenied(now time.Time, k flow.Key, f *routedFlow) {
	if !f.queriedAll {
		r.queryOtherAgents(now, k, f)
		return
	}
	if len(r.unansweredAgents(now, f)) > 0 {
		f.stage = stageAwaitAgents // a denial of an agent that was not queried again came late
		return
	}
	if !r.agentsSettled(now) {
		f.stage = stageAwaitAgents
		r.report(Decision{Kind: DecisionNotFound, Reason: "agents-unsettled", Key: k, Tries: f.queried})
		return
	}
	r.concludeUnowned(now, k, f)
}

// concludeUnowned ends the search for a flow that all agents denied. The flow is reset in
// its turn.
func (r *Router) concludeUnowned(now time.Time, k flow.Key, f *routedFlow) {
	delete(r.searching, k)
	f.searchPacket, f.queued, f.relayed = nil, nil, nil
	r.report(Decision{Kind: DecisionNoOwner, Key: k, Tries: f.queried})
	f.state, f.resetPending = stateUnowned, true
	r.addReset(now, k, f)
}

// agentsSettled reports whether the agents of a peer were taken over and none was added
// recently, so that the known ones are all that can own a flow. Removed agents cannot
// own any.
func (r *Router) agentsSettled(now time.Time) bool {
	return r.joined && r.joins.Settled(now)
}

// reportSettled reports once after each wave of new agents that their set counts as
// complete.
func (r *Router) reportSettled(now time.Time) {
	if !r.settledReported && r.agentsSettled(now) {
		r.settledReported = true
		r.report(Decision{Kind: DecisionSettled, Tries: r.joins.Agents(), Age: r.joins.Wait()})
	}
}

// handleMayHold records an agent that cannot determine without its upstream whether
// it owns the flow.
func (r *Router) handleMayHold(now time.Time, from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateSearching || f.stage != flow.ReplicaCount {
		return
	}
	a, first := f.replyFrom(from)
	if !first {
		return
	}
	if !r.routeHasService(m.Key, r.view.Owners[from].Service) {
		a.state = replyNotProbeable
	}
	r.probe(now, m.Key, f)
}

// probe sends the packet of a search to agents that cannot answer without their
// upstreams, once all agents with an upstream have answered: one that has not may
// be the owner, and the packets would reach only other upstreams.
func (r *Router) probe(now time.Time, k flow.Key, f *routedFlow) {
	waiting := func(a reply) bool { return a.state == replyUnknown && a.hasPacket }
	if !slices.ContainsFunc(f.replies, waiting) {
		r.probeNext(now, k, f)
	}
}

// probeNext sends the packet to the agents of one availability zone that have not
// received it, starting with the local zone, where most flows are placed. Sending
// it to all agents at once would saturate the links of small instances when many
// flows are searched for, as after all processes were killed. ok is false when no
// agent is left.
func (r *Router) probeNext(now time.Time, k flow.Key, f *routedFlow) (ok bool) {
	zone, ok := r.nextZone(f)
	if !ok || f.stage != flow.ReplicaCount || r.ownerReplyMissing(k, f) {
		return false
	}
	f.stageStart, f.probedAt = now, now
	var agents []flow.Endpoint
	for i := range f.replies {
		a := &f.replies[i]
		switch {
		case a.state != replyUnknown:
		case a.hasPacket:
			a.state = replyProbeTimeout
		case r.view.Owners[a.agent].Zone == zone:
			a.hasPacket = true
			agents = append(agents, a.agent)
		}
	}
	r.sendProbes(k, f, agents)
	return true
}

// nextZone returns the zone whose agents receive the packet next: the local one, or
// that of the first agent that has not received it. Zones out of service come last,
// since no new flows were placed there lately. ok is false when there is none.
func (r *Router) nextZone(f *routedFlow) (zone string, ok bool) {
	rank := func(zone string) int {
		switch {
		case r.view.Fleet.ZonesOut[zone]:
			return 2
		case zone == r.zone:
			return 0
		}
		return 1
	}
	for _, a := range f.replies {
		if a.state != replyUnknown || a.hasPacket {
			continue
		}
		if z := r.view.Owners[a.agent].Zone; !ok || rank(z) < rank(zone) {
			zone, ok = z, true
		}
	}
	return zone, ok
}

// replyFrom returns the reply of an agent and adds it if it is the first one.
func (f *routedFlow) replyFrom(agent flow.Endpoint) (a *reply, first bool) {
	i := f.replyIndex(agent)
	if i < 0 {
		i, first = len(f.replies), true
		f.replies = append(f.replies, reply{agent: agent})
	}
	return &f.replies[i], first
}

// replyIndex returns the index of an agent's reply, or -1 without one.
func (f *routedFlow) replyIndex(agent flow.Endpoint) int {
	return slices.IndexFunc(f.replies, func(a reply) bool { return a.agent == agent })
}

// denials returns the number of agents that denied owning the flow.
func (f *routedFlow) denials() int {
	n := 0
	for _, a := range f.replies {
		if a.state == replyDenied {
			n++
		}
	}
	return n
}

// ownerReplyMissing reports whether an agent whose upstream has announced itself, and
// that may own the flow, has not answered yet. The number of replies does not tell: those
// of agents that are not queried again are kept. An agent that could not tell and has
// departed since counts as one that has not answered: its upstream can't be probed.
func (r *Router) ownerReplyMissing(k flow.Key, f *routedFlow) bool {
	for _, agent := range r.view.OwnerAddrs {
		o := r.view.Owners[agent]
		if !o.Announced {
			continue
		}
		if i := f.replyIndex(agent); i >= 0 && (f.replies[i].state == replyDenied || !o.Departed) {
			continue
		}
		if f.queriedAll || r.routeHasService(k, o.Service) {
			return true
		}
	}
	return false
}

// handleQueryReply handles an agent's answers to a query about several flows.
func (r *Router) handleQueryReply(now time.Time, from flow.Endpoint, m *Message) {
	for _, a := range m.Answers {
		one := &Message{Key: a.Key, Load: m.Load}
		switch a.Holding {
		case HoldingOwned:
			r.handleOwned(now, from, one)
		case HoldingNone:
			r.handleNotHeld(now, from, one)
		default:
			r.handleMayHold(now, from, one)
		}
	}
}

func (r *Router) handleUnknown(now time.Time, from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateSearching || f.stage >= flow.ReplicaCount {
		return
	}
	if flow.ReplicasOf(m.Key, r.view.Entries)[f.stage] != from {
		return
	}
	f.stage++
	r.queryNextReplica(now, m.Key, f)
}
