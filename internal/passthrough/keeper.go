package passthrough

import (
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

const (
	// probeMemory is how long an agent remembers that its upstream returned a
	// packet of a flow: two spans in which three packets at a wrong upstream
	// count as a broken flow.
	probeMemory = 4 * time.Second
	// reportPeriod is the shortest time between two reports of load to an entry,
	// and reportRefresh the longest: below flow.ReportLife by one lost report.
	reportPeriod  = 300 * time.Millisecond
	reportRefresh = 1400 * time.Millisecond
	// reportChange and reportShare are the change of load, in busy requests and as
	// a share of what was told, below which a report would change no choice: the
	// choice itself is spread over more.
	reportChange = 0.25
	reportShare  = 0.1
	// reportFailing is the same for the share of failed requests.
	reportFailing = 0.05
	// failingAbove and failingBelow are the shares of failed requests at which an
	// upstream is said to fail, and to work again.
	failingAbove = 0.25
	failingBelow = 0.1
	// openingLife is how long after its last copy a caller waits for the answer to
	// an opening packet: it sends the last one after 0.6 s and gives up after 1.4 s.
	openingLife = 800 * time.Millisecond
	// reporterLife is how long an entry hears of the load after its last packet.
	reporterLife = 3 * time.Second
	// maxReporters bounds the entries that hear of the load.
	maxReporters = 16
	// probeWait is the time in which an upstream returns a packet: it does so
	// within a millisecond. One that does not, and has not announced itself to
	// this process, is not there.
	probeWait = 150 * time.Millisecond
	// busyLife is the time after which a request without an answer no longer
	// counts as load: its caller has given up, deadlines are 1 to 4 s.
	busyLife = 5 * time.Second
	// loadShare is the weight of the present in the averaged load, for each
	// tick of 25 ms: a time constant of about half a second.
	loadShare = 0.05
)

// KeeperOutbox sends what a Keeper decides.
type KeeperOutbox interface {
	// ToUpstream gives a packet to the upstream.
	ToUpstream(packet []byte)
	// ToCaller sends an upstream's packet to its caller.
	ToCaller(k flow.Key, packet []byte)
	// Tell sends a message to an entry.
	Tell(entry flow.End, m *Message)
	// Reset ends the caller's side of a flow.
	Reset(k flow.Key, seq uint32)
}

type keptState uint8

const (
	keptOpening keptState = iota // offered to the upstream
	keptOpen                     // the upstream consented, or sent packets of it
	keptProbing                  // the upstream is asked whether it holds the flow
)

// kept is one flow of the upstream.
type kept struct {
	state keptState
	// used is set once the caller has sent a packet on the flow, or the upstream
	// one beyond its consent. Until then it may be open at another upstream,
	// which answered another copy of the opening packet.
	used   bool
	origin flow.End // entry that sent the last packet
	search bool     // that entry is searching and keeps the packet
	born   int64    // start of the upstream that holds it, 0 when not known
	seen   time.Time
	opened time.Time
	busy   bool      // a request has no answer yet
	asked  time.Time // start of that request
	ack    uint32    // last acknowledgement of the caller
}

// KeeperOptions configure a Keeper.
type KeeperOptions struct {
	Service string
	Started time.Time     // of the process
	MaxAge  time.Duration // after which flows may be forgotten
	Silence time.Duration // of an upstream after which it is taken for absent
	Codec   Codec
	Out     KeeperOutbox
	Observe Observer
	// Answered takes the time from a request to the first packet of its answer.
	Answered func(time.Duration)
}

// Keeper is the state machine of an agent: it stands between the entries and
// one upstream. It is not safe for concurrent use.
type Keeper struct {
	KeeperOptions
	tag       uint32
	flows     map[flow.Key]*kept
	denied    map[flow.Key]time.Time // flows that the upstream does not hold
	upstream  flow.Upstream
	gate      flow.Gate
	limits    flow.Limits
	idle      time.Duration
	zoneOut   bool
	leaving   bool
	busy      int
	average   float64
	outcomes  flow.Outcomes
	failing   bool // said so last
	reporters map[flow.End]*reporter
	swept     time.Time
	// quiet counts the ticks since the upstream's last sign of life. Ticks stand
	// still while the process does, so its own pause is not the upstream's.
	quiet  int
	silent bool // the upstream is taken for ended
	// unanswered counts the ticks since a probe that the upstream has not
	// returned or answered; 0 without one.
	unanswered int
}

// reporter is an entry that hears of the load.
type reporter struct {
	seen, told time.Time
	load       flow.Load // as told
}

// NewKeeper returns the state machine of an agent.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{
		KeeperOptions: o,
		tag:           config.ServiceHash(o.Service),
		flows:         map[flow.Key]*kept{},
		denied:        map[flow.Key]time.Time{},
		upstream:      flow.NewUpstream(o.Started),
		idle:          o.MaxAge,
		reporters:     map[flow.End]*reporter{},
	}
}

// Configure puts limits, the idle time of flows and the zone's state in force.
func (a *Keeper) Configure(l flow.Limits, idle time.Duration, zoneOut bool) {
	a.limits, a.zoneOut = l, zoneOut
	if idle > 0 {
		a.idle = idle
	}
}

// Leave refuses new flows from now on.
func (a *Keeper) Leave() { a.leaving = true }

// Busy returns the number of requests without an answer.
func (a *Keeper) Busy() int { return a.busy }

// Failing returns the share of the upstream's latest requests that failed, from
// 0 to 1.
func (a *Keeper) Failing() float64 { return a.outcomes.Failing() }

// Flows returns the number of flows that are known.
func (a *Keeper) Flows() int { return len(a.flows) }

// Announce takes an announcement of the upstream. The flows of an upstream that
// has ended are reset, so that their callers need not wait for a deadline.
func (a *Keeper) Announce(now time.Time, n flow.Announcement) flow.Announced {
	before, heard := a.upstream.Last().Born, a.upstream.Heard()
	outcome := a.upstream.Announce(now, n)
	last := a.upstream.Last()
	if outcome != flow.AnnouncedLate {
		a.lives()
	}
	switch {
	case outcome != flow.AnnouncedChanged || before == 0:
	case last.Gone:
		a.endAll(before, now)
	case last.Born != before:
		a.endAll(before, heard)
	}
	return outcome
}

// endAll ends the flows of the upstream that was started at born, as far as they
// were opened up to the time until. A later one may already be held by the next
// start, which takes flows before its first announcement: its upstream tells with
// the next packet.
func (a *Keeper) endAll(born int64, until time.Time) {
	for k, f := range a.flows {
		switch {
		case f.born != born:
		case f.opened.After(until):
			f.born = 0
		default:
			a.end(k, f, f.ack)
		}
	}
}

// State returns the condition of the upstream.
func (a *Keeper) State(now time.Time) flow.UpstreamState {
	if a.silent {
		return flow.UpstreamAbsent
	}
	return a.upstream.State(now, a.Silence)
}

// lives notes a sign of life of the upstream.
func (a *Keeper) lives() { a.quiet, a.unanswered, a.silent = 0, 0, false }

// Heard returns when the last announcement came.
func (a *Keeper) Heard() time.Time { return a.upstream.Heard() }

// Last returns the upstream's last announcement.
func (a *Keeper) Last() flow.Announcement { return a.upstream.Last() }

// Packet takes a caller's packet from an entry.
func (a *Keeper) Packet(now time.Time, from flow.End, s *flow.Segment, packet []byte) {
	n := a.Codec.Note(packet)
	a.Codec.Clear(packet)
	a.noteReporter(now, from)
	k := s.FromCaller()
	f := a.flows[k]
	if n.Purpose == flow.PurposeAsk {
		a.answer(now, k, from)
		return
	}
	if f != nil && a.ended(f) {
		a.end(k, f, s.Ack)
		if f.used {
			return
		}
		f = nil
	}
	if s.Opening {
		a.open(now, k, f, from, n, packet)
		return
	}
	if f == nil {
		a.unknown(now, k, from, n, packet)
		return
	}
	f.origin, f.seen, f.ack = from, now, s.Ack
	f.used = f.used || f.state == keptOpen
	switch {
	case s.Fin || s.Reset:
		a.failed(f) // if a request has no answer, the caller has given up
	case s.Data > 0 && !f.busy && f.state != keptProbing:
		f.busy, f.asked = true, now
		a.busy++
	}
	a.Out.ToUpstream(packet)
}

// answer tells an entry whether the flow is held here.
func (a *Keeper) answer(now time.Time, k flow.Key, from flow.End) {
	switch a.holding(now, k, from) {
	case HoldingOwned:
		a.tellOwned(k, a.flows[k])
	case HoldingNone:
		a.notHeld(k, from, nil)
	default:
		a.Out.Tell(from, &Message{Kind: KindMayHold, Key: k, Load: a.load()})
	}
}

// holding says whether the flow is held here. The entry that asks is told what
// becomes of a flow that is.
func (a *Keeper) holding(now time.Time, k flow.Key, from flow.End) Holding {
	f := a.flows[k]
	switch {
	case f != nil && f.state == keptOpen && !a.ended(f):
		f.origin = from
		return HoldingOwned
	case f == nil && (a.knowsAll(now) || a.deniedLately(now, k)):
		return HoldingNone
	}
	return HoldingMaybe
}

// Asked tells an entry which of the flows are held here.
func (a *Keeper) Asked(now time.Time, from flow.End, keys []flow.Key) {
	m := &Message{Kind: KindAnswers, Load: a.load()}
	for _, k := range keys {
		m.Answers = append(m.Answers, Answer{Key: k, Says: a.holding(now, k, from)})
	}
	a.Out.Tell(from, m)
}

// knowsAll reports whether all flows of the upstream have passed this process.
func (a *Keeper) knowsAll(now time.Time) bool {
	return now.Sub(a.Started) >= a.MaxAge || a.upstream.FirstSeen() || a.upstream.Last().Gone || a.silent
}

func (a *Keeper) deniedLately(now time.Time, k flow.Key) bool {
	at, denied := a.denied[k]
	return denied && now.Sub(at) < probeMemory
}

// ended reports whether another upstream took the place of the one that held
// the flow.
func (a *Keeper) ended(f *kept) bool {
	return f.state == keptOpen && f.born != 0 && f.born != a.upstream.Last().Born
}

// end forgets a flow whose upstream has ended, and resets it if it was open there.
func (a *Keeper) end(k flow.Key, f *kept, ack uint32) {
	a.forget(k, f)
	if !f.used {
		return
	}
	a.Observe(Decision{What: DecisionEnded, Key: k, Age: f.seen.Sub(f.opened)})
	a.Out.Reset(k, ack)
}

func (a *Keeper) forget(k flow.Key, f *kept) {
	a.failed(f)
	delete(a.flows, k)
}

// failed ends a request, if there is one, that gets no answer.
func (a *Keeper) failed(f *kept) {
	if f.busy {
		a.outcomes.Failed()
	}
	a.answered(f)
}

func (a *Keeper) answered(f *kept) {
	if f.busy {
		f.busy = false
		a.busy--
	}
}

// open offers a new flow to the upstream, or refuses it.
func (a *Keeper) open(now time.Time, k flow.Key, f *kept, from flow.End, n flow.Note, packet []byte) {
	if f != nil && f.state != keptProbing {
		f.origin, f.seen = from, now
		if f.state == keptOpen {
			a.tellOwned(k, f)
		}
		a.Out.ToUpstream(packet)
		return
	}
	reason := a.admit(now, n)
	if reason != flow.RefusalNone {
		a.Observe(Decision{What: DecisionReject, Reason: reason.String(), Key: k, Agent: from})
		a.refuse(k, from, reason, packet)
		return
	}
	a.Observe(Decision{What: DecisionAdmit, Key: k, Agent: from})
	a.flows[k] = &kept{state: keptOpening, origin: from, born: a.upstream.Last().Born, opened: now, seen: now}
	a.Out.ToUpstream(packet)
}

func (a *Keeper) admit(now time.Time, n flow.Note) flow.Refusal {
	if a.leaving {
		return flow.RefusalLeaving
	}
	return a.gate.Admit(now, flow.Offer{
		State:   a.State(now),
		Service: n.Service == a.tag && a.upstream.Last().Service == a.Service,
		ZoneOut: a.zoneOut,
		Busy:    a.busy,
		Slots:   a.upstream.Last().Slots,
		Flows:   len(a.flows),
		Limits:  a.limits,
		Insist:  n.Purpose == flow.PurposeOpenIn,
	})
}

func (a *Keeper) refuse(k flow.Key, to flow.End, reason flow.Refusal, packet []byte) {
	a.Out.Tell(to, &Message{Kind: KindRefused, Key: k, Reason: reason, Load: a.load(), Packet: packet})
}

// unknown handles a packet of a flow that the agent does not know. Its upstream
// is asked unless all of its flows have passed here.
func (a *Keeper) unknown(now time.Time, k flow.Key, from flow.End, n flow.Note, packet []byte) {
	if a.knowsAll(now) || a.deniedLately(now, k) {
		a.notHeld(k, from, packet)
		return
	}
	if n.Service != a.tag {
		// The upstream may hold the flow, but must not be asked with a packet
		// that the address's services do not permit.
		a.Observe(Decision{What: DecisionReject, Reason: flow.RefusalService.String(), Key: k, Agent: from})
		return
	}
	a.Observe(Decision{What: DecisionProbe, Key: k, Agent: from})
	a.flows[k] = &kept{state: keptProbing, origin: from, search: n.Purpose == flow.PurposeSearch, opened: now, seen: now}
	a.unanswered = max(a.unanswered, 1)
	a.Out.ToUpstream(packet)
}

func (a *Keeper) notHeld(k flow.Key, to flow.End, packet []byte) {
	a.Out.Tell(to, &Message{Kind: KindNotHeld, Key: k, Reason: flow.RefusalNotHeld, Load: a.load(), Packet: packet})
}

// FromUpstream takes a packet that the upstream sent. anyEntry is told of flows
// that were not known.
func (a *Keeper) FromUpstream(now time.Time, s *flow.Segment, packet []byte, anyEntry flow.End) {
	a.lives()
	if s.Bounced {
		a.bounced(now, s, packet)
		return
	}
	k := s.ToCaller()
	f := a.flows[k]
	switch {
	case f == nil:
		f = &kept{state: keptOpen, origin: anyEntry, born: a.upstream.Last().Born, opened: now}
		a.flows[k] = f
		a.Observe(Decision{What: DecisionLearn, Key: k, Agent: anyEntry})
		a.tellOwned(k, f)
	case f.state != keptOpen:
		f.state, f.born = keptOpen, a.upstream.Last().Born
		a.tellOwned(k, f)
	}
	f.seen = now
	f.used = f.used || !s.Opened
	if s.Data > 0 && f.busy {
		a.Answered(now.Sub(f.asked))
		a.outcomes.Answered()
		a.answered(f)
	}
	if s.Reset {
		a.failed(f)
	}
	a.Out.ToCaller(k, packet)
}

func (a *Keeper) tellOwned(k flow.Key, f *kept) {
	if !f.origin.IsZero() {
		a.Out.Tell(f.origin, &Message{Kind: KindOwned, Key: k, Load: a.load()})
	}
}

// bounced handles a packet that the upstream returned.
func (a *Keeper) bounced(now time.Time, s *flow.Segment, packet []byte) {
	a.Codec.Clear(packet)
	k := s.FromCaller()
	f := a.flows[k]
	if f == nil {
		return
	}
	if s.Opening {
		if f.state == keptOpening {
			a.Observe(Decision{What: DecisionFull, Key: k, Agent: f.origin})
			a.forget(k, f)
			a.refuse(k, f.origin, flow.RefusalBounced, packet)
		}
		return
	}
	a.Observe(Decision{What: DecisionGone, Key: k, Agent: f.origin, Age: now.Sub(f.opened)})
	a.forget(k, f)
	a.denied[k] = now
	if f.search {
		packet = nil
	}
	a.notHeld(k, f.origin, packet)
}
