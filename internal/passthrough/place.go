package passthrough

import (
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// openFlow places a new flow, or handles a copy of its opening packet.
func (r *Router) openFlow(now time.Time, k flow.Key, f *routedFlow, s *flow.Segment, packet []byte) {
	route := r.view.Fleet.Routes[k.Route().AddrPort()]
	if route == nil {
		r.noRoute(now, k)
		return
	}
	if f == nil || f.state != stateOwned && f.state != statePlacing || f.state == stateOwned && !r.mayOwn(f.owner) {
		f = &routedFlow{openedAt: now}
		r.flows[k] = f
		delete(r.searching, k)
	}
	f.lastSeen, f.resetSeq = now, 0
	if f.state == stateOwned {
		r.out.Forward(f.owner, r.metadata(k, flow.PurposeOpen, f.owner), packet)
		return
	}
	if !f.owner.IsZero() {
		if s.Ack <= f.copies {
			return
		}
		// The agent that received the last copy has not answered it.
		r.placement.Avoid(now, f.owner)
		f.tried = append(f.tried[:0], f.owner)
		for _, o := range f.offers {
			if o.hedge && o.agent != f.owner {
				f.tried = append(f.tried, o.agent)
			}
		}
	} else {
		f.tried = f.tried[:0]
	}
	f.copies, f.offeredBusy, f.overflows = s.Ack, false, 0
	r.place(now, k, f, route, packet, flow.RefusalNone)
}

// noRoute handles an opening packet for an address without a route. It resets the
// flow only if the configuration was verified recently.
func (r *Router) noRoute(now time.Time, k flow.Key) {
	if now.Sub(r.verifiedAt) > verifiedConfigAge || r.paused() {
		r.report(Decision{Kind: DecisionNoRoute, Reason: "configuration-old", Key: k})
		return
	}
	r.report(Decision{Kind: DecisionNoRoute, Reason: "reset", Key: k})
	r.out.Reset(k, 0)
}

// place offers a new flow to an agent that has not refused it. last is the reason
// of the last refusal.
func (r *Router) place(now time.Time, k flow.Key, f *routedFlow, route *config.Route, packet []byte, last flow.Refusal) {
	service := flow.ServiceOf(route, k)
	agents := r.view.Agents[config.ServiceID(service)]
	purpose := flow.PurposeOpen
	var agent flow.Agent
	ok := false
	if len(f.tried) < maxTries {
		agent, ok = r.placement.Choose(now, k, agents, f.tried)
	}
	reason := last.String()
	if !ok && last == flow.RefusalBusy && f.overflows < maxOverflows {
		agent, service, ok = r.overflow(now, k, f, route, service)
		if ok {
			f.overflows++
			reason = reasonOtherService
		}
	}
	if !ok && last == flow.RefusalBusy && !f.offeredBusy {
		// All are busy: offer the flow to the one with the lowest score. It keeps the
		// opening waiting for free capacity, or accepts it where openings do not wait.
		purpose = flow.PurposeOpenBusy
		agent, ok = r.placement.Choose(now, k, agents, nil)
	}
	if !ok {
		r.noAgent(k, f, last)
		return
	}
	f.state, f.owner, f.stageStart = statePlacing, agent.Addr, now
	f.offeredBusy = purpose == flow.PurposeOpenBusy
	f.tried = append(f.tried, agent.Addr)
	r.report(Decision{Kind: DecisionPlace, Reason: reason, Key: k, Agent: agent.Addr, Tries: len(f.tried)})
	r.recordOffer(now, k, f, route, agent.Addr, packet)
	r.out.Forward(agent.Addr, flow.Metadata{Purpose: purpose, Service: config.ServiceHash(service), Class: flow.ClassOf(route)}, packet)
}

// overflow returns an agent of another service of the route that has not refused the flow.
// Agents of the flow's own service are busy then, and the route allows the other one.
func (r *Router) overflow(now time.Time, k flow.Key, f *routedFlow, route *config.Route, own string) (agent flow.Agent, service string, ok bool) {
	for _, c := range route.Choices {
		if c.Service == own || c.Weight == 0 {
			continue
		}
		if agent, ok = r.placement.Choose(now, k, r.view.Agents[config.ServiceID(c.Service)], f.tried); ok {
			return agent, c.Service, true
		}
	}
	return flow.Agent{}, own, false
}

// noAgent ends a placement attempt that no agent accepted. The flow is reset only
// after the last copy of the opening packet: an agent may accept a later copy.
func (r *Router) noAgent(k flow.Key, f *routedFlow, last flow.Refusal) {
	reason := last.String()
	if last == flow.RefusalNone {
		reason = "no-agent"
	}
	r.report(Decision{Kind: DecisionNoAgent, Reason: reason, Key: k, Tries: len(f.tried)})
	f.state, f.owner, f.stageStart = stateUnknown, flow.Endpoint{}, time.Time{}
	if f.copies < lastCopyNumber || r.mayBeAccepted(f) {
		return
	}
	delete(r.flows, k)
	r.out.Reset(k, 0)
}

func (r *Router) handleOwned(now time.Time, from flow.Endpoint, m *Message) {
	if m.Owner.IsZero() {
		m.Owner = from // sent by the owner itself
		r.placement.Report(now, from, m.Load)
	}
	f := r.ensureFlow(now, m.Key)
	if !r.acceptOwner(now, from, m, f) {
		return
	}
	if f.state == stateOwned && f.owner == m.Owner {
		return
	}
	kind := DecisionOwned
	if f.state != statePlacing {
		kind = DecisionFound
	}
	r.report(Decision{Kind: kind, Key: m.Key, Agent: m.Owner, Tries: len(f.tried), Age: now.Sub(f.openedAt)})
	delete(r.searching, m.Key)
	if f.state == stateSearching && len(f.searchPacket) > 0 && !f.sentPacketTo(m.Owner) {
		r.out.Forward(m.Owner, r.metadata(m.Key, r.ownerPurpose(), m.Owner), f.searchPacket)
	}
	f.state, f.owner, f.searchPacket, f.tried, f.replies = stateOwned, m.Owner, nil, nil, nil
	f.replicas, f.relayed = flow.Replicas{}, nil
	r.register(m.Key, f)
	r.flushQueue(m.Key, f)
}

// sentPacketTo reports whether the agent received the packet of the search.
func (f *routedFlow) sentPacketTo(agent flow.Endpoint) bool {
	if f.stage < flow.ReplicaCount {
		return f.replicaHasPacket
	}
	i := f.replyIndex(agent)
	return i >= 0 && f.replies[i].hasPacket
}

// flushQueue forwards the packets that were received during a search.
func (r *Router) flushQueue(k flow.Key, f *routedFlow) {
	for _, packet := range f.queued {
		r.out.Forward(f.owner, r.metadata(k, r.ownerPurpose(), f.owner), packet)
	}
	f.queued = nil
}

func (r *Router) handleRefused(now time.Time, from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	r.report(Decision{Kind: DecisionRefused, Reason: m.Reason.String(), Key: m.Key, Agent: from})
	if f == nil || r.offerRefused(now, m.Key, f, from, m.Reason) || f.state != statePlacing || f.owner != from {
		return
	}
	route := r.view.Fleet.Routes[m.Key.Route().AddrPort()]
	if route == nil {
		r.noAgent(m.Key, f, m.Reason)
		return
	}
	r.place(now, m.Key, f, route, m.Packet, m.Reason)
}
