package passthrough

import "crocusnotch/internal/flow"

// Abandon discards a flow that the caller opened at another agent, and frees its place.
// The flow is kept as abandoned, so that a late acceptance of the upstream is recognized.
// A flow that the caller uses here is kept.
func (t *Tracker) Abandon(k flow.Key) {
	t.abandonWaiting(k)
	f := t.flows[k]
	if f == nil || f.used || f.state == trackedProbing {
		return
	}
	t.requestDone(f)
	t.reservations.Remove(k)
	f.state = trackedAbandoned
}

// openElsewhere reports whether the caller opened the flow at another agent: its upstream
// has not accepted it yet, or the packet acknowledges another acceptance. That shows only
// until the flow is used, since later packets acknowledge data.
func (t *Tracker) openElsewhere(f *trackedFlow, s *flow.Segment, p flow.Purpose) bool {
	if f.state == trackedAbandoned {
		return true
	}
	if p != flow.PurposeOwnerChecked || s.Reset {
		return false
	}
	return f.state == trackedOpening || f.state == trackedOpen && !f.used && f.acceptedSeq != 0 && !acknowledges(s.Ack, f.acceptedSeq)
}

// halfOpenSeq returns the sequence number of the upstream's acceptance while the flow may
// be open at another agent, and 0 otherwise.
func (f *trackedFlow) halfOpenSeq() uint32 {
	if f.used {
		return 0
	}
	return f.acceptedSeq
}
