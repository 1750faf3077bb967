package passthrough

import (
	"bytes"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

const (
	// returnedTTL is how long an agent remembers that its upstream returned a packet
	// of a flow. Three packets at a wrong upstream within half of that time count as
	// a broken flow.
	returnedTTL = 4 * time.Second
	// reportIntervalMin is the shortest time between two load reports to an entry,
	// and reportIntervalMax the longest: one report may be lost within
	// flow.ReportTTL.
	reportIntervalMin = 300 * time.Millisecond
	reportIntervalMax = 1400 * time.Millisecond
	// reportMinChange and reportMinRelativeChange are the change of load, in busy
	// requests and relative to the last report, below which a report would not
	// change a placement: the random part of its score is larger.
	reportMinChange         = 0.25
	reportMinRelativeChange = 0.1
	// reportMinFailureRateChange is the same for the failure rate.
	reportMinFailureRateChange = 0.05
	// failingThreshold and recoveredThreshold are the failure rates above and below
	// which an upstream is reported as failing and as recovered.
	failingThreshold   = 0.25
	recoveredThreshold = 0.1
	// openingTimeout is how long a caller waits for an answer after its last copy of
	// an opening packet: it sends that after 0.6 s and gives up after 1.4 s.
	openingTimeout = 800 * time.Millisecond
	// subscriberTTL is how long an entry receives load reports after its last packet.
	subscriberTTL = 3 * time.Second
	// maxSubscribers bounds the number of entries that receive load reports.
	maxSubscribers = 16
	// probeTimeout is how long an upstream may take to return a packet, which it
	// normally does within a millisecond. An upstream that does not, and has not
	// announced itself to this process, is treated as absent.
	probeTimeout = 150 * time.Millisecond
	// requestTimeout is the time after which an unanswered request no longer counts
	// as load: its caller has given up, since deadlines are 1 to 4 s.
	requestTimeout = 5 * time.Second
	// loadSmoothing is the weight of the current load in its moving average at each
	// tick of 25 ms: a time constant of about half a second.
	loadSmoothing = 0.05
)

// TrackerOutbox sends the packets and messages of a Tracker.
type TrackerOutbox interface {
	// ToUpstream sends a packet to the upstream.
	ToUpstream(packet []byte)
	// ToCaller sends an upstream's packet to its caller.
	ToCaller(k flow.Key, packet []byte)
	// SendMessage sends a message to an entry, or a relayed probe to an agent.
	SendMessage(to flow.Endpoint, m *Message)
	// Reset resets a flow at its caller.
	Reset(k flow.Key, seq uint32)
}

// TrackerOptions are the options of a Tracker.
type TrackerOptions struct {
	Self            flow.Endpoint // data address of the agent
	Upstream        flow.UpstreamIdentity
	Started         time.Time     // start of the agent's process
	MaxAge          time.Duration // maximum age of a flow
	UpstreamTimeout time.Duration // time without announcements after which the upstream is absent; if it sends no packets either, it is treated as ended
	Codec           Codec
	Out             TrackerOutbox
	Observe         Observer
	// ScarceSlots is the largest number of slots of an upstream at which new flows are
	// admitted by their expected wait; 0 means never.
	ScarceSlots int
	// ObserveAnswer records the time from a request to the first packet of its answer.
	ObserveAnswer func(time.Duration)
}

// Tracker is the state machine of an agent: it tracks the flows of the upstream and
// decides on packets between entries, callers and the upstream. It is not safe for
// concurrent use.
type Tracker struct {
	TrackerOptions
	serviceTag      uint32
	flows           map[flow.Key]*trackedFlow
	ending          endingFlows
	returned        map[flow.Key]time.Time // when the upstream last returned a packet of a flow that it does not hold
	upstream        flow.Upstream
	admission       flow.Admission
	limits          flow.Limits
	idleTimeout     time.Duration
	zoneOut         bool
	draining        bool
	restarted       bool // a former process of this agent ran until shortly before
	stale           bool // this process was paused: configuration and announcements may have changed
	busyRequests    int
	averageBusy     float64
	serviceTimes    flow.ServiceTimes
	reservations    flow.Reservations
	waiting         flow.WaitingOpenings
	lastLimit       int // limit on busy requests that the last opening met, 0 if none did
	outcomes        flow.Outcomes
	reportedFailing bool // the last reported decision was DecisionFailing
	subscribers     map[flow.Endpoint]*subscriber
	lastSweep       time.Time
	// quietTicks is the number of ticks since the upstream's last packet or
	// announcement. Ticks are not counted while this process is paused, so such a
	// pause does not time out the upstream.
	quietTicks int
	timedOut   bool // the upstream is treated as ended
	// probeTicks is the number of ticks since a probe that the upstream has neither
	// returned nor answered, or 0 without one.
	probeTicks int
	refused    bool // a check of the upstream was refused: no upstream is running
	// checksValidFrom is the time before which a check must not have started for its
	// refusal to count.
	checksValidFrom time.Time
}

// subscriber is an entry that receives load reports.
type subscriber struct {
	lastSeen, reportedAt time.Time
	reported             flow.Load // last reported load
}

// NewTracker returns the state machine of an agent.
func NewTracker(o TrackerOptions) *Tracker {
	return &Tracker{
		TrackerOptions: o,
		serviceTag:     config.ServiceHash(o.Upstream.Service),
		flows:          map[flow.Key]*trackedFlow{},
		ending:         endingFlows{},
		returned:       map[flow.Key]time.Time{},
		upstream:       flow.NewUpstream(o.Started, o.Upstream),
		idleTimeout:    o.MaxAge,
		subscribers:    map[flow.Endpoint]*subscriber{},
	}
}

// Configure sets the limits, the idle timeout of flows (0: unchanged) and whether
// the zone is out of service.
func (t *Tracker) Configure(l flow.Limits, idle time.Duration, zoneOut bool) {
	t.limits, t.zoneOut = l, zoneOut
	if idle > 0 {
		t.idleTimeout = idle
	}
	if zoneOut {
		t.refuseAllWaiting(flow.RefusalZoneOut)
	}
}

// Drain makes the agent refuse new flows.
func (t *Tracker) Drain() {
	t.draining = true
	t.refuseAllWaiting(flow.RefusalLeaving)
}

// SetStale sets whether this process was paused and has not learned since what changed
// meanwhile. It refuses new flows until then.
func (t *Tracker) SetStale(stale bool) { t.stale = stale }

// SetRestarted sets whether a former process of this agent ran until shortly before, so
// that an upstream which started shortly before this process may hold flows that it
// forwarded.
func (t *Tracker) SetRestarted(restarted bool) { t.restarted = restarted }

// Busy returns the number of unanswered requests.
func (t *Tracker) Busy() int { return t.busyRequests }

// FailureRate returns the share of the upstream's latest requests that failed, from
// 0 to 1.
func (t *Tracker) FailureRate() float64 { return t.outcomes.FailureRate() }

// Flows returns the number of known flows.
func (t *Tracker) Flows() int { return len(t.flows) }

// Announce applies an announcement of the upstream. The flows of an upstream that
// has ended are reset, so that their callers need not wait for a deadline.
func (t *Tracker) Announce(now time.Time, n flow.Announcement) flow.AnnounceResult {
	before, lastAnnounced := t.upstream.Last().StartMillis, t.upstream.LastAnnounced()
	outcome := t.upstream.Announce(now, n)
	if outcome == flow.AnnounceForeign {
		return outcome
	}
	last := t.upstream.Last()
	if outcome != flow.AnnounceStale {
		t.markAlive(now)
	}
	if last.StartMillis != before {
		t.serviceTimes.Reset()
	}
	defer t.serveWaiting(now)
	switch {
	case outcome != flow.AnnounceChanged || before == 0:
	case last.Ended:
		t.finishFlows(before, now)
	case last.StartMillis != before:
		t.endFlows(before, lastAnnounced)
	}
	return outcome
}

// endFlows ends the flows of the upstream that started at startMillis, if they were
// opened no later than until. A flow that was opened later may belong to the next
// start of the upstream, which accepts flows before its first announcement: that is
// determined by the flow's next packet.
func (t *Tracker) endFlows(startMillis int64, until time.Time) {
	for k, f := range t.flows {
		switch {
		case f.upstreamStart != startMillis || t.isEnding(k):
		case f.openedAt.After(until):
			f.upstreamStart = 0
		default:
			t.endFlow(k, f, f.lastAck)
		}
	}
}

// State returns the state of the upstream.
func (t *Tracker) State(now time.Time) flow.UpstreamState {
	if t.timedOut {
		return flow.UpstreamAbsent
	}
	return t.upstream.State(now, t.UpstreamTimeout)
}

// markAlive records that the upstream sent a packet or an announcement.
func (t *Tracker) markAlive(now time.Time) {
	t.quietTicks, t.probeTicks, t.timedOut = 0, 0, false
	t.refused, t.checksValidFrom = false, now
}

// LastAnnounced returns when the last announcement was received.
func (t *Tracker) LastAnnounced() time.Time { return t.upstream.LastAnnounced() }

// Last returns the upstream's last announcement.
func (t *Tracker) Last() flow.Announcement { return t.upstream.Last() }

// Packet handles a caller's packet from an entry.
func (t *Tracker) Packet(now time.Time, from flow.Endpoint, s *flow.Segment, packet []byte) {
	meta := t.Codec.Metadata(packet)
	t.Codec.Clear(packet)
	t.subscribe(now, from)
	k := s.KeyFromCaller()
	f := t.flows[k]
	if meta.Purpose == flow.PurposeQuery {
		t.answerQuery(now, k, from)
		return
	}
	if f != nil && t.upstreamReplaced(f) {
		t.endFlow(k, f, s.Ack)
		if f.used {
			return
		}
		f = nil
	}
	if s.Opening {
		t.openFlow(now, k, f, from, meta, s.Ack, packet)
		return
	}
	t.abandonWaiting(k)
	if f == nil {
		t.handleUnknownFlow(now, k, from, meta, packet)
		return
	}
	newData := f.recordData(s)
	if newData && !f.busy && t.isEnding(k) {
		t.endFlow(k, f, s.Ack) // a new request, which the upstream does not accept
		return
	}
	if t.openElsewhere(f, s, meta.Purpose) {
		t.sendNotHeld(k, from, packet)
		return
	}
	f.entry, f.lastSeen, f.lastAck = from, now, s.Ack
	f.used = f.used || f.state == trackedOpen
	if s.Data > 0 || s.Fin || s.Reset {
		t.reservations.Remove(k)
	}
	f.closed = f.closed || s.Fin || s.Reset
	switch {
	case f.closed:
		t.requestFailed(f) // the caller has abandoned an unanswered request
	case newData && !f.busy && f.state != trackedProbing:
		f.busy, f.requestedAt = true, now
		t.busyRequests++
		f.measured = t.scarce() && t.busyRequests <= t.upstream.Last().Slots
	}
	t.Out.ToUpstream(packet)
	t.serveWaiting(now)
}

// upstreamReplaced reports whether the upstream that held the flow has been replaced
// by another one or by a restart.
func (t *Tracker) upstreamReplaced(f *trackedFlow) bool {
	return f.state == trackedOpen && f.upstreamStart != 0 && f.upstreamStart != t.upstream.Last().StartMillis
}

// endFlow removes a flow whose upstream has ended, and resets it if it was in use
// there.
func (t *Tracker) endFlow(k flow.Key, f *trackedFlow, ack uint32) {
	t.remove(k, f)
	if !f.used {
		return
	}
	t.Observe(Decision{Kind: DecisionUpstreamEnded, Key: k, Age: f.lastSeen.Sub(f.openedAt)})
	t.Out.Reset(k, ack)
}

func (t *Tracker) remove(k flow.Key, f *trackedFlow) {
	t.requestFailed(f)
	t.reservations.Remove(k)
	delete(t.flows, k)
}

// requestFailed counts the flow's unanswered request, if there is one, as failed.
func (t *Tracker) requestFailed(f *trackedFlow) {
	if f.busy {
		t.outcomes.Failed()
	}
	t.requestDone(f)
}

func (t *Tracker) requestDone(f *trackedFlow) {
	if f.busy {
		f.busy = false
		t.busyRequests--
	}
}

// openFlow sends the opening packet of a new flow to the upstream, or refuses it. copies
// is the number of copies that its caller sent before.
func (t *Tracker) openFlow(now time.Time, k flow.Key, f *trackedFlow, from flow.Endpoint, meta flow.Metadata, copies uint32, packet []byte) {
	if f != nil && f.state != trackedProbing && f.state != trackedAbandoned {
		f.entry, f.lastSeen = from, now
		if f.closed {
			f.reopen() // the caller uses the port again
		}
		if f.state == trackedOpen {
			t.sendOwned(k, f)
		}
		t.Out.ToUpstream(packet)
		return
	}
	if t.waiting.Len() > 0 && t.waiting.Update(k, from, bytes.Clone(packet)) {
		return
	}
	t.serveWaiting(now)
	reason := t.admit(now, meta)
	switch {
	case reason == flow.RefusalBusy && meta.Purpose == flow.PurposeOpenBusy: // only where openings wait
		t.wait(now, flow.WaitingOpening{Key: k, Meta: meta, Entry: from, Packet: bytes.Clone(packet), Copies: copies, Since: now})
	case reason != flow.RefusalNone:
		t.Observe(Decision{Kind: DecisionReject, Reason: reason.String(), Key: k, Agent: from})
		t.sendRefused(k, from, reason, packet)
	default:
		t.waiting.CountPlace(meta.Class)
		t.Observe(Decision{Kind: DecisionAdmit, Key: k, Agent: from})
		t.sendOpening(now, k, from, packet)
	}
}

// sendOpening sends the opening packet of an admitted flow to the upstream.
func (t *Tracker) sendOpening(now time.Time, k flow.Key, from flow.Endpoint, packet []byte) {
	if t.scarce() {
		t.reservations.Add(now, k)
	}
	t.flows[k] = &trackedFlow{state: trackedOpening, entry: from, upstreamStart: t.upstream.Last().StartMillis, openedAt: now, lastSeen: now}
	t.Out.ToUpstream(packet)
}

func (t *Tracker) admit(now time.Time, meta flow.Metadata) flow.Refusal {
	if reason := t.ownRefusal(); reason != flow.RefusalNone {
		return reason
	}
	r := t.admissionRequest(now, meta)
	t.lastLimit = 0
	if t.scarce() {
		room := t.room(now)
		r.Room, r.Class = &room, meta.Class
		t.lastLimit = room.Limit(meta.Class, false)
		if t.waiting.Precedes(meta.Class) {
			room.Busy = max(room.Busy, t.lastLimit) // the next place goes to a more urgent opening
		}
	}
	return t.admission.Admit(now, r)
}

// ownRefusal returns why this process accepts no new flows, whatever the upstream.
func (t *Tracker) ownRefusal() flow.Refusal {
	switch {
	case t.draining:
		return flow.RefusalLeaving
	case t.stale:
		return flow.RefusalPaused
	}
	return flow.RefusalNone
}

func (t *Tracker) admissionRequest(now time.Time, meta flow.Metadata) flow.AdmissionRequest {
	return flow.AdmissionRequest{
		State:          t.State(now),
		ServiceMatches: meta.Service == t.serviceTag,
		ZoneOut:        t.zoneOut,
		Busy:           t.busyRequests,
		Slots:          t.upstream.Last().Slots,
		Flows:          len(t.flows),
		Limits:         t.limits,
		AllowBusy:      meta.Purpose == flow.PurposeOpenBusy,
	}
}

func (t *Tracker) sendRefused(k flow.Key, to flow.Endpoint, reason flow.Refusal, packet []byte) {
	t.Out.SendMessage(to, &Message{Kind: KindRefused, Key: k, Reason: reason, Load: t.currentLoad(), Packet: packet})
}

// FromUpstream handles a packet that the upstream sent. anyEntry is notified of
// flows that were unknown.
func (t *Tracker) FromUpstream(now time.Time, s *flow.Segment, packet []byte, anyEntry flow.Endpoint) {
	t.markAlive(now)
	defer t.serveWaiting(now)
	if s.Returned {
		t.handleReturned(now, s, packet)
		return
	}
	k := s.KeyToCaller()
	t.abandonWaiting(k)
	f := t.flows[k]
	if f != nil && f.state == trackedAbandoned && s.Accepted {
		return // the caller opened the flow at another agent
	}
	var accepted uint32
	if s.Accepted {
		accepted = s.Seq
	}
	switch {
	case f == nil:
		f = &trackedFlow{state: trackedOpen, entry: anyEntry, upstreamStart: t.upstream.Last().StartMillis, openedAt: now, acceptedSeq: accepted}
		t.flows[k] = f
		t.Observe(Decision{Kind: DecisionLearn, Key: k, Agent: anyEntry})
		t.sendOwned(k, f)
	case f.state != trackedOpen:
		f.state, f.upstreamStart, f.acceptedSeq = trackedOpen, t.upstream.Last().StartMillis, accepted
		t.sendOwned(k, f)
	}
	f.lastSeen = now
	f.used = f.used || !s.Accepted
	if f.recordAnswer(s) && f.busy {
		t.ObserveAnswer(now.Sub(f.requestedAt))
		if f.measured {
			t.serviceTimes.Add(now.Sub(f.requestedAt))
		}
		t.outcomes.Answered()
		t.requestDone(f)
	}
	if s.Reset || s.Fin {
		t.requestFailed(f)
	}
	t.Out.ToCaller(k, packet)
}

func (t *Tracker) sendOwned(k flow.Key, f *trackedFlow) {
	if !f.entry.IsZero() {
		t.Out.SendMessage(f.entry, &Message{Kind: KindOwned, Key: k, Load: t.currentLoad(), AcceptedSeq: f.halfOpenSeq()})
	}
}
