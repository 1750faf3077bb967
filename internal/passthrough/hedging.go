package passthrough

import (
	"bytes"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// maxHedgeCandidates bounds the openings that are kept for a hedge, of 36 bytes each:
// those of the longest delay at 25,000 openings a second.
const maxHedgeCandidates = 4096

// Outcomes of hedges, reasons of DecisionHedge.
const (
	hedgeSent     = "sent"
	hedgeWon      = "won"  // the caller opened the flow at the second agent
	hedgeLost     = "lost" // the caller opened the flow at the first agent, or the second refused it
	hedgeNoBudget = "no-budget"
	hedgeOff      = "off"
)

// offer is one offer of an opening to an agent that has not refused it.
type offer struct {
	agent       flow.Endpoint
	at          time.Time
	hedge       bool
	repeatable  bool
	owned       bool   // the agent accepted it
	acceptedSeq uint32 // of its upstream's acceptance, 0 if it is not known
}

// hedgeCandidate is an opening that is hedged unless its agent answers in time.
type hedgeCandidate struct {
	key    flow.Key
	agent  flow.Endpoint
	at     time.Time
	packet []byte
}

// hedger is the state of hedged openings at an entry.
type hedger struct {
	*flow.Hedging
	candidates []hedgeCandidate // oldest first
	draining   bool
}

// SetHedging allows hedges up to the share of openings, and lets the caller's first
// acknowledgement choose the owner of a flow that several agents accepted.
func (r *Router) SetHedging(share float64) { r.hedger = &hedger{Hedging: flow.NewHedging(share)} }

// SetDraining stops hedges while this entry drains.
func (r *Router) SetDraining(draining bool) {
	if r.hedger != nil {
		r.hedger.draining = draining
	}
}

// ownerPurpose returns the purpose of packets of open flows. With hedges an agent checks
// that the caller opened the flow at its upstream.
func (r *Router) ownerPurpose() flow.Purpose {
	if r.hedger == nil {
		return flow.PurposeOwner
	}
	return flow.PurposeOwnerChecked
}

// recordOffer records that an opening is offered to an agent.
func (r *Router) recordOffer(now time.Time, k flow.Key, f *routedFlow, route *config.Route, agent flow.Endpoint, packet []byte) {
	if r.hedger == nil {
		return
	}
	f.removeOffer(agent)
	f.chosen = false
	f.offers = append(f.offers, offer{agent: agent, at: now, repeatable: route.Repeatable})
	if route.Repeatable && len(r.hedger.candidates) < maxHedgeCandidates {
		r.hedger.candidates = append(r.hedger.candidates, hedgeCandidate{key: k, agent: agent, at: now, packet: bytes.Clone(packet)})
	}
}

// hedgeOpenings hedges the openings that have waited for the delay.
func (r *Router) hedgeOpenings(now time.Time) {
	if r.hedger == nil {
		return
	}
	r.hedger.Check(now)
	due := 0
	for _, c := range r.hedger.candidates {
		if waited := now.Sub(c.at); waited >= 0 && waited < r.hedger.Delay() {
			break
		}
		due++
		r.hedge(now, c)
	}
	r.hedger.candidates = slices.Delete(r.hedger.candidates, 0, due)
}

// hedge offers an opening that its agent has not answered to a second agent.
func (r *Router) hedge(now time.Time, c hedgeCandidate) {
	f := r.flows[c.key]
	route := r.view.Fleet.Routes[c.key.Route().AddrPort()]
	if f == nil || f.state != statePlacing || f.owner != c.agent || !f.stageStart.Equal(c.at) || route == nil || !route.Repeatable {
		return
	}
	service := flow.ServiceOf(route, c.key)
	agents := r.view.Agents[config.ServiceID(service)]
	warm := slices.DeleteFunc(slices.Clone(agents), func(a flow.Agent) bool { return a.Cold || a.Suspect })
	excluded := append([]flow.Endpoint{c.agent}, f.tried...)
	if !slices.ContainsFunc(warm, func(a flow.Agent) bool { return !slices.Contains(excluded, a.Addr) }) || r.hedger.draining || r.paused() {
		r.report(Decision{Kind: DecisionHedge, Reason: hedgeOff, Key: c.key})
		return
	}
	switch r.hedger.Take(now, c.at, r.placement.FreshReports(now, agents), len(agents)) {
	case flow.HedgeOff:
		r.report(Decision{Kind: DecisionHedge, Reason: hedgeOff, Key: c.key})
		return
	case flow.HedgeNoBudget:
		r.report(Decision{Kind: DecisionHedge, Reason: hedgeNoBudget, Key: c.key})
		return
	}
	second, _ := r.placement.Choose(now, c.key, warm, excluded) // there is one, see above
	f.tried = append(f.tried, second.Addr)
	f.offers = append(f.offers, offer{agent: second.Addr, at: now, hedge: true, repeatable: true})
	r.report(Decision{Kind: DecisionHedge, Reason: hedgeSent, Key: c.key, Agent: second.Addr, Tries: len(f.tried), Age: now.Sub(c.at)})
	r.out.Forward(second.Addr, flow.Metadata{Purpose: flow.PurposeOpen, Service: config.ServiceHash(service), Class: flow.ClassOf(route)}, c.packet)
}

// acceptOwner records an agent's message that it owns a flow, and reports whether the
// agent becomes the owner. The flow may be open at another agent, which the caller's
// acknowledgement tells.
func (r *Router) acceptOwner(now time.Time, from flow.Endpoint, m *Message, f *routedFlow) bool {
	if r.hedger == nil || from != m.Owner {
		return true
	}
	i := f.offerIndex(from)
	if i >= 0 {
		o := &f.offers[i]
		if !o.owned {
			r.hedger.Answered(now, flow.RefusalNone)
			r.hedger.Placed(now.Sub(o.at), o.repeatable)
		}
		o.owned = true
		if m.AcceptedSeq != 0 {
			o.acceptedSeq = m.AcceptedSeq
		}
	}
	switch {
	case m.AcceptedSeq == 0: // of an earlier version, or in use: the last owner counts
		return true
	case f.state == stateSearching:
		return r.acceptFound(now, from, m, f)
	case f.chosen && f.owner != from:
		r.abandon(m.Key, from)
		return false
	case f.state == stateOwned:
		// The first one, until the caller chooses.
		return f.owner == from || i >= 0 && !f.undecided()
	}
	// A half-open flow that this entry neither offered nor searches for may be open
	// elsewhere; the caller's next packet is searched for.
	return i >= 0
}

// acceptFound handles the message of an agent in a search that its upstream accepted the
// flow, and reports whether the agent is the owner. One whose acceptance the caller's packet
// does not acknowledge has not denied the flow, so its answer is no reason for a reset.
func (r *Router) acceptFound(now time.Time, from flow.Endpoint, m *Message, f *routedFlow) bool {
	ack := f.resetSeq
	if ack == 0 { // the packet came through another entry
		return true
	}
	if acknowledges(ack, m.AcceptedSeq) {
		r.settle(now, m.Key, f, from)
		return true
	}
	if f.stage >= flow.ReplicaCount {
		if a, _ := f.replyFrom(from); a.state != replyDenied {
			a.state = replyHalfOpen
		}
		r.probe(now, m.Key, f)
	}
	return false
}

// chooseOwner makes the agent the owner whose upstream's acceptance the caller
// acknowledges, and lets the others discard the flow. Without a match the packet goes to
// the present owner, which returns it if the flow is open elsewhere.
func (r *Router) chooseOwner(now time.Time, k flow.Key, f *routedFlow, s *flow.Segment) {
	if len(f.offers) == 0 || s.Reset {
		return
	}
	matches := func(ack uint32) func(offer) bool {
		return func(o offer) bool { return o.acceptedSeq != 0 && o.acceptedSeq == ack }
	}
	i := slices.IndexFunc(f.offers, matches(s.Ack-1))
	if i < 0 {
		i = slices.IndexFunc(f.offers, matches(s.Ack))
	}
	if i < 0 {
		return
	}
	agent, only := f.offers[i].agent, len(f.offers) == 1
	r.settle(now, k, f, agent)
	if f.state == stateOwned && f.owner == agent && only {
		return // registered when it accepted the flow
	}
	delete(r.searching, k)
	f.state, f.owner, f.searchPacket, f.tried, f.replies = stateOwned, agent, nil, nil, nil
	f.replicas = flow.Replicas{}
	r.register(k, f)
	r.flushQueue(k, f)
}

// settle records that the caller opened the flow at the agent, and lets the others that
// it was offered to discard it.
func (r *Router) settle(now time.Time, k flow.Key, f *routedFlow, agent flow.Endpoint) {
	outcome := ""
	won := slices.ContainsFunc(f.offers, func(o offer) bool { return o.hedge && o.agent == agent })
	for _, o := range f.offers {
		if o.hedge && outcome == "" {
			outcome = hedgeLost
		}
		if o.agent == agent {
			continue
		}
		if won && !o.owned {
			r.placement.Avoid(now, o.agent)
		}
		r.abandon(k, o.agent)
	}
	if won {
		outcome = hedgeWon
	}
	if outcome != "" {
		r.report(Decision{Kind: DecisionHedge, Reason: outcome, Key: k, Agent: agent})
	}
	f.offers, f.chosen = nil, true
}

// abandon tells an agent that the caller opened the flow at another one.
func (r *Router) abandon(k flow.Key, agent flow.Endpoint) {
	r.out.SendMessage(agent, &Message{Kind: KindAbandon, Key: k})
}

// offerRefused handles a refusal. It reports whether the opening still waits for another
// agent.
func (r *Router) offerRefused(now time.Time, k flow.Key, f *routedFlow, from flow.Endpoint, reason flow.Refusal) (waits bool) {
	if r.hedger == nil {
		return false
	}
	r.hedger.Answered(now, reason)
	i := f.offerIndex(from)
	if i < 0 {
		return false
	}
	if f.offers[i].hedge {
		r.report(Decision{Kind: DecisionHedge, Reason: hedgeLost, Key: k, Agent: from})
	}
	f.removeOffer(from)
	if f.state != statePlacing || f.owner != from {
		return true
	}
	j := slices.IndexFunc(f.offers, func(o offer) bool { return o.hedge && !o.owned && !o.at.Before(f.stageStart) })
	if j < 0 {
		return false
	}
	f.owner, f.stageStart = f.offers[j].agent, f.offers[j].at
	return true
}

// acknowledges reports whether a caller's packet acknowledges an acceptance, by its
// sequence number or the next one.
func acknowledges(ack, acceptedSeq uint32) bool { return ack == acceptedSeq || ack == acceptedSeq+1 }

// offerIndex returns the index of the offer to an agent, or -1 without one.
func (f *routedFlow) offerIndex(agent flow.Endpoint) int {
	return slices.IndexFunc(f.offers, func(o offer) bool { return o.agent == agent })
}

// undecided reports whether several agents may have accepted the flow, and its caller's
// acknowledgement will tell which one it chose.
func (f *routedFlow) undecided() bool {
	i := f.offerIndex(f.owner)
	return len(f.offers) > 1 && i >= 0 && f.offers[i].acceptedSeq != 0
}

// mayBeAccepted reports whether an agent was offered the flow and has not refused it, so
// that it may own the flow.
func (r *Router) mayBeAccepted(f *routedFlow) bool {
	return slices.ContainsFunc(f.offers, func(o offer) bool { return r.mayOwn(o.agent) })
}

func (f *routedFlow) removeOffer(agent flow.Endpoint) {
	f.offers = slices.DeleteFunc(f.offers, func(o offer) bool { return o.agent == agent })
}
