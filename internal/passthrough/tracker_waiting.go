package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

// admittedAfterWait is the reason of DecisionAdmit for an opening that waited.
const admittedAfterWait = "waited"

// waitingAbandoned is the reason of DecisionReject for a waiting opening that needs no
// answer any more.
const waitingAbandoned = "abandoned"

// scarce reports whether the upstream has so few slots that openings wait here for free
// capacity.
func (t *Tracker) scarce() bool {
	slots := t.upstream.Last().Slots
	return slots >= 1 && slots <= t.ScarceSlots
}

func (t *Tracker) room(now time.Time) flow.Room {
	return flow.Room{
		Busy:        t.busyRequests + t.reservations.Count(now),
		Slots:       t.upstream.Last().Slots,
		ServiceTime: t.serviceTimes.Mean(),
	}
}

// wait adds an opening that no agent admitted to those that wait for free capacity.
func (t *Tracker) wait(now time.Time, o flow.WaitingOpening) {
	o.UpstreamStart, o.Cold = t.upstream.Last().StartMillis, t.State(now) == flow.UpstreamCold
	last, full := t.waiting.Add(o)
	if !full || last.Key != o.Key {
		t.Observe(Decision{Kind: DecisionWait, Key: o.Key, Agent: o.Entry, Tries: t.waiting.Len()})
	}
	if full {
		t.refuseWaiting(&last, flow.RefusalBusy, now.Sub(last.Since))
	}
}

// serveWaiting refuses the openings that have waited too long or whose upstream no longer
// accepts flows, and sends others to the upstream while it has free capacity.
func (t *Tracker) serveWaiting(now time.Time) {
	if t.waiting.Len() == 0 {
		return
	}
	for _, o := range t.waiting.Refuse(func(o *flow.WaitingOpening) flow.Refusal { return t.waitingRefusal(now, o) }) {
		t.refuseWaiting(&o.WaitingOpening, o.Reason, now.Sub(o.Since))
	}
	for {
		o, ok := t.waiting.Next(t.room(now))
		if !ok {
			return
		}
		t.admitWaiting(now, &o)
	}
}

// admitWaiting sends an opening that waited to the upstream, unless a limit other than
// the free capacity has been reached meanwhile.
func (t *Tracker) admitWaiting(now time.Time, o *flow.WaitingOpening) {
	if reason := t.admission.Admit(now, t.admissionRequest(now, o.Meta)); reason != flow.RefusalNone {
		t.refuseWaiting(o, reason, now.Sub(o.Since))
		return
	}
	t.Observe(Decision{Kind: DecisionAdmit, Reason: admittedAfterWait, Key: o.Key, Agent: o.Entry, Age: now.Sub(o.Since)})
	t.sendOpening(now, o.Key, o.Entry, o.Packet)
}

// waitingRefusal returns why an opening can't wait any longer, or RefusalNone.
func (t *Tracker) waitingRefusal(now time.Time, o *flow.WaitingOpening) flow.Refusal {
	if reason := t.ownRefusal(); reason != flow.RefusalNone {
		return reason
	}
	request := t.admissionRequest(now, o.Meta)
	if reason := t.admission.Check(now, request); reason != flow.RefusalNone {
		return reason
	}
	switch {
	case request.State == flow.UpstreamCold && !o.Cold:
		return flow.RefusalCold
	case o.UpstreamStart != t.upstream.Last().StartMillis:
		return flow.RefusalNoUpstream
	case o.Expired(now):
		return flow.RefusalBusy
	}
	return flow.RefusalNone
}

// refuseAllWaiting refuses all waiting openings.
func (t *Tracker) refuseAllWaiting(reason flow.Refusal) {
	for _, o := range t.waiting.Refuse(func(*flow.WaitingOpening) flow.Refusal { return reason }) {
		t.refuseWaiting(&o.WaitingOpening, reason, 0)
	}
}

// refuseWaiting refuses an opening that has waited for the given time, 0 if it is unknown.
func (t *Tracker) refuseWaiting(o *flow.WaitingOpening, reason flow.Refusal, waited time.Duration) {
	t.Observe(Decision{Kind: DecisionReject, Reason: reason.String(), Key: o.Key, Agent: o.Entry, Age: waited})
	t.sendRefused(o.Key, o.Entry, reason, o.Packet)
}

// abandonWaiting removes the flow's waiting opening, if it has one, because another packet
// of the flow arrived: its caller has given up, or the flow is open.
func (t *Tracker) abandonWaiting(k flow.Key) {
	if o, ok := t.waiting.Remove(k); ok {
		t.Observe(Decision{Kind: DecisionReject, Reason: waitingAbandoned, Key: k, Agent: o.Entry})
	}
}
