package passthrough

import (
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// open places a new flow, or passes on a copy of its opening packet.
func (r *Router) open(now time.Time, k flow.Key, f *routed, s *flow.Segment, packet []byte) {
	route := r.view.Fleet.Routes[k.Route().AddrPort()]
	if route == nil {
		r.noRoute(now, k)
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

// noRoute answers an opening packet for an address that is no route.
func (r *Router) noRoute(now time.Time, k flow.Key) {
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
	r.out.Carry(agent.Addr, flow.Note{Purpose: purpose, Service: config.ServiceHash(service)}, packet)
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

func (r *Router) owned(now time.Time, from flow.End, m *Message) {
	if m.Owner.IsZero() {
		m.Owner = from // the agent speaks of itself
		r.placement.Report(now, from, m.Load)
	}
	f := r.known(now, m.Key)
	if f.state == stateOwned && f.owner == m.Owner {
		return
	}
	what := DecisionOwned
	if f.state != statePlacing {
		what = DecisionFound
	}
	r.report(Decision{What: what, Key: m.Key, Agent: m.Owner, Tries: len(f.tried), Age: now.Sub(f.opened)})
	delete(r.searching, m.Key)
	if f.state == stateSearching && len(f.held) > 0 && !f.passedTo(m.Owner) {
		r.out.Carry(m.Owner, r.note(m.Key, flow.PurposeOwner, m.Owner), f.held)
	}
	f.state, f.owner, f.held, f.tried, f.heard = stateOwned, m.Owner, nil, nil, nil
	f.homes = flow.Homes{}
	r.register(m.Key, f)
	r.release(m.Key, f)
}

// passedTo reports whether the agent got the packet of a search.
func (f *routed) passedTo(agent flow.End) bool {
	if f.stage < flow.HomeCount {
		return f.lent
	}
	i := f.replyOf(agent)
	return i >= 0 && f.heard[i].given
}

// release passes on what came during a search.
func (r *Router) release(k flow.Key, f *routed) {
	for _, packet := range f.queue {
		r.out.Carry(f.owner, r.note(k, flow.PurposeOwner, f.owner), packet)
	}
	f.queue = nil
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
