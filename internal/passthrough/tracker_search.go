package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

// answerQuery sends an entry the answer to whether this agent owns the flow.
func (t *Tracker) answerQuery(now time.Time, k flow.Key, from flow.Endpoint) {
	switch t.holding(now, k, from) {
	case HoldingOwned:
		t.sendOwned(k, t.flows[k])
	case HoldingNone:
		t.sendNotHeld(k, from, nil)
	default:
		t.Out.SendMessage(from, &Message{Kind: KindMayHold, Key: k, Load: t.currentLoad()})
	}
}

// holding returns whether this agent owns the flow. If it does, the querying entry
// receives the flow's later messages.
func (t *Tracker) holding(now time.Time, k flow.Key, from flow.Endpoint) Holding {
	f := t.flows[k]
	switch {
	case f != nil && f.state == trackedOpen && !t.upstreamReplaced(f):
		f.entry = from
		return HoldingOwned
	case f != nil && f.state == trackedAbandoned:
		return HoldingNone
	case f == nil && (t.allFlowsKnown(now) || t.returnedRecently(now, k)):
		return HoldingNone
	case f != nil && f.state == trackedProbing && (t.timedOut || t.refused):
		return HoldingNone // its upstream did not return the probe, or is not running
	}
	return HoldingUnknown
}

// Query sends an entry the answers to which of the flows this agent owns.
func (t *Tracker) Query(now time.Time, from flow.Endpoint, keys []flow.Key) {
	m := &Message{Kind: KindQueryReply, Reason: t.denialReason(), Load: t.currentLoad()}
	for _, k := range keys {
		holding := t.holding(now, k, from)
		if holding == HoldingOwned && t.flows[k].halfOpenSeq() != 0 {
			t.sendOwned(k, t.flows[k]) // with the sequence number, by which the entry recognizes the owner
			continue
		}
		m.Answers = append(m.Answers, Answer{Key: k, Holding: holding})
	}
	t.Out.SendMessage(from, m)
}

// allFlowsKnown reports whether all flows of the upstream are known, because they
// have passed through this process or the upstream has ended.
func (t *Tracker) allFlowsKnown(now time.Time) bool {
	return now.Sub(t.Started) >= t.MaxAge || t.upstream.SeenFromStart(!t.restarted) || t.upstream.Last().Ended || t.timedOut || t.refused
}

func (t *Tracker) returnedRecently(now time.Time, k flow.Key) bool {
	at, known := t.returned[k]
	return known && now.Sub(at) < returnedTTL
}

// handleUnknownFlow handles a packet of a flow that the agent does not know. It sends
// the packet to the upstream as a probe unless all flows of the upstream are known.
func (t *Tracker) handleUnknownFlow(now time.Time, k flow.Key, from flow.Endpoint, meta flow.Metadata, packet []byte) {
	if t.allFlowsKnown(now) || t.returnedRecently(now, k) {
		t.sendNotHeld(k, from, packet)
		return
	}
	if meta.Service != t.serviceTag {
		// The upstream may hold the flow, but must not receive a packet for an
		// address that does not have its service.
		t.Observe(Decision{Kind: DecisionReject, Reason: flow.RefusalService.String(), Key: k, Agent: from})
		return
	}
	t.Observe(Decision{Kind: DecisionProbe, Key: k, Agent: from})
	t.flows[k] = &trackedFlow{state: trackedProbing, entry: from, search: meta.Purpose == flow.PurposeSearch, openedAt: now, lastSeen: now}
	t.probeTicks = max(t.probeTicks, 1)
	t.Out.ToUpstream(packet)
}

func (t *Tracker) sendNotHeld(k flow.Key, to flow.Endpoint, packet []byte) {
	t.Out.SendMessage(to, &Message{Kind: KindNotHeld, Key: k, Reason: t.denialReason(), Load: t.currentLoad(), Packet: packet})
}

// denialReason returns why this agent denies flows: RefusalNoUpstream says that it owns
// none at all.
func (t *Tracker) denialReason() flow.Refusal {
	if t.refused {
		return flow.RefusalNoUpstream
	}
	return flow.RefusalNotHeld
}

// handleReturned handles a caller's packet that the upstream sent back.
func (t *Tracker) handleReturned(now time.Time, s *flow.Segment, packet []byte) {
	t.Codec.Clear(packet)
	k := s.KeyFromCaller()
	f := t.flows[k]
	if f == nil {
		return
	}
	if s.Opening {
		if f.state == trackedOpening {
			t.Observe(Decision{Kind: DecisionReturned, Key: k, Agent: f.entry})
			t.remove(k, f)
			t.sendRefused(k, f.entry, flow.RefusalReturned, packet)
		}
		return
	}
	t.Observe(Decision{Kind: DecisionNotHeld, Key: k, Agent: f.entry, Age: now.Sub(f.openedAt)})
	t.remove(k, f)
	t.returned[k] = now
	if f.search {
		packet = nil
	}
	t.sendNotHeld(k, f.entry, packet)
}
