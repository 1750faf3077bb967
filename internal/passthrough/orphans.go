package passthrough

import (
	"slices"
	"time"

	"crocusnotch/internal/checkpoint"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/orphan"
)

// Reasons of DecisionOrphan.
const (
	orphanReset = "reset"  // the flow was idle and has no owner
	orphanInUse = "in-use" // its caller has sent a packet meanwhile, which decides
)

// OpenFlows returns the flows of routes with non-idempotent requests of which this entry
// has received packets and knows the owner, the latest ones if they are more than limit.
// Callers repeat other requests when a flow turns out to have ended.
func (r *Router) OpenFlows(limit int) []checkpoint.Flow {
	var keys []flow.Key
	for k, f := range r.flows {
		route := r.view.Fleet.Routes[k.Route().AddrPort()]
		if route != nil && !route.Repeatable && f.state == stateOwned && f.resetSeq != 0 {
			keys = append(keys, k)
		}
	}
	if len(keys) > limit {
		slices.SortFunc(keys, func(a, b flow.Key) int { return r.flows[b].lastSeen.Compare(r.flows[a].lastSeen) })
		keys = keys[:limit]
	}
	flows := make([]checkpoint.Flow, len(keys))
	for i, k := range keys {
		flows[i] = checkpoint.Flow{Key: k, Ack: r.flows[k].resetSeq}
	}
	return flows
}

// VerifyFlows adds flows that were open before all processes may have been lost. Those
// that no agent owns are reset.
func (r *Router) VerifyFlows(now time.Time, flows []checkpoint.Flow) {
	for i := range flows {
		if r.flows[flows[i].Key] == nil {
			r.orphans.Add(now, flows[i])
		}
	}
}

// verifyRestarted adds the flows of agents that have restarted: the upstream beside the
// agent may have ended with it.
func (r *Router) verifyRestarted(now time.Time, v *View) {
	restarted := map[flow.Endpoint]bool{}
	for agent, after := range v.Owners {
		before, known := r.view.Owners[agent]
		if known && before.Incarnation != after.Incarnation {
			restarted[agent] = true
		}
	}
	if len(restarted) == 0 {
		return // as with most views
	}
	for k, f := range r.flows {
		if f.state == stateOwned && f.resetSeq != 0 && restarted[f.owner] {
			r.orphans.Add(now, checkpoint.Flow{Key: k, Ack: f.resetSeq})
		}
	}
}

// handleOrphanReply passes what an agent answered about flows to the verifier.
func (r *Router) handleOrphanReply(from flow.Endpoint, m *Message) {
	if r.orphans.Len() == 0 {
		return
	}
	switch m.Kind {
	case KindQueryReply:
		denied := make([]flow.Key, 0, len(m.Answers))
		for _, a := range m.Answers {
			if a.Holding == HoldingNone {
				denied = append(denied, a.Key)
				continue
			}
			r.orphans.Drop(a.Key)
		}
		r.orphans.Denied(from, denied)
	case KindOwned, KindMayHold:
		r.orphans.Drop(m.Key)
	}
}

// resetOrphans queries agents about flows that may have lost their upstream, and resets those
// that have no owner. Their callers are idle, so that the resets need no pace: no request
// follows at once.
func (r *Router) resetOrphans(now time.Time) {
	if r.orphans.Len() == 0 {
		return
	}
	if len(r.view.OwnerAddrs) > searchProofLimit {
		r.orphans.Clear() // no flow is reset without the denial of all agents
		return
	}
	orphans, queries := r.orphans.Tick(now, orphan.Agents{
		All:       r.view.OwnerAddrs,
		NeedReply: func(a flow.Endpoint) bool { return !r.hasNoUpstream(a) && !r.isUnresponsive(now, a) },
		Near:      func(a flow.Endpoint) bool { return r.view.Owners[a].Zone == r.zone },
		Settled:   r.agentsSettled(now),
		StartedAt: r.agentStartedAt,
	})
	for i := range orphans {
		r.resetOrphan(now, &orphans[i])
	}
	for _, q := range queries {
		r.unanswered.queried(now, q.Agent)
		r.out.SendMessage(q.Agent, &Message{Kind: KindQuery, Queries: q.Keys})
	}
}

// resetOrphan resets a flow that no agent owns, unless its caller has sent a packet since
// the agents were queried: the flow may have been opened again, or is searched for.
func (r *Router) resetOrphan(now time.Time, o *orphan.Orphan) {
	f := r.flows[o.Key]
	if f != nil && (f.lastSeen.After(o.Since) || f.state != stateOwned && f.state != stateUnknown) {
		r.report(Decision{Kind: DecisionOrphan, Reason: orphanInUse, Key: o.Key})
		return
	}
	r.report(Decision{Kind: DecisionOrphan, Reason: orphanReset, Key: o.Key})
	r.flows[o.Key] = &routedFlow{state: stateUnowned, openedAt: now, lastSeen: now, resetSeq: o.Ack}
	r.out.Reset(o.Key, o.Ack)
}
