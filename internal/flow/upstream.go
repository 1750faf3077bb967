package flow

import (
	"net/netip"
	"time"
)

// Announcement is a status report of an upstream to the agent on its instance.
type Announcement struct {
	ID            string
	StartMillis   int64 // start of the upstream's process, Unix milliseconds
	Sequence      int64 // increases with each announcement since that start
	Service       string
	Address       netip.AddrPort
	Zone          string
	Slots         int
	Leaving       bool
	Ended         bool          // the upstream has ended
	ColdRemaining time.Duration // remaining time in cold start
}

// UpstreamIdentity is what an agent's settings say of its upstream, whatever its start.
type UpstreamIdentity struct {
	Service string
	Address netip.AddrPort
	Zone    string
}

// identity returns the identity that the announcement claims.
func (a *Announcement) identity() UpstreamIdentity {
	return UpstreamIdentity{Service: a.Service, Address: a.Address, Zone: a.Zone}
}

// Upstream is the state of an agent's upstream according to its announcements.
type Upstream struct {
	identity  UpstreamIdentity
	last      Announcement
	known     bool
	fromStart bool // this process received its first announcement
	together  bool // it started together with this process, which may have missed its first announcements

	agentStarted  time.Time
	coldUntil     time.Time
	lastAnnounced time.Time
}

// AnnounceResult is the effect of an announcement.
type AnnounceResult string

// Effects of announcements.
const (
	AnnounceAccepted AnnounceResult = "taken"
	AnnounceChanged  AnnounceResult = "changed"
	AnnounceStale    AnnounceResult = "late"    // ignored: a later announcement or a later start is known
	AnnounceForeign  AnnounceResult = "foreign" // ignored: it is not the upstream's own
)

// maxStartAhead is how far in the future an upstream may have started by the agent's
// clock. Clocks differ by seconds; a later start would outdate all of the upstream's own.
const maxStartAhead = time.Hour

// Announce applies an announcement unless a later one is known or another process wrote it.
func (u *Upstream) Announce(now time.Time, a Announcement) AnnounceResult {
	if !a.Ended && (a.identity() != u.identity || a.StartMillis > now.Add(maxStartAhead).UnixMilli()) {
		return AnnounceForeign
	}
	if u.isStale(a) {
		return AnnounceStale
	}
	if a.Ended {
		final := u.last
		final.ID, final.Ended = a.ID, true
		a = final
	}
	before := *u
	sameStart := before.last.StartMillis == a.StartMillis
	u.fromStart = !a.Ended && a.Sequence <= firstSequence || u.fromStart && sameStart
	u.together = !a.Ended && before.startedTogether(a) || u.together && sameStart
	u.last, u.known, u.lastAnnounced = a, true, now
	u.coldUntil = now.Add(a.ColdRemaining)
	if !before.known || before.state(now) != u.state(now) || before.last.StartMillis != a.StartMillis || before.last.ID != a.ID {
		return AnnounceChanged
	}
	return AnnounceAccepted
}

const (
	// firstSequence is the sequence number of the first announcement after a start.
	firstSequence = 1
	// earlySequenceMax is the highest sequence number at which an upstream that
	// started together with its agent still counts as seen from its start: the
	// agent may have missed announcements that were sent before it listened.
	earlySequenceMax = 3
	// startSpread is how much earlier than its agent such an upstream may have
	// started: the spread of process starts after a power loss.
	startSpread = 500 * time.Millisecond
)

// NewUpstream returns an upstream without announcements for an agent whose
// process started at agentStarted.
func NewUpstream(agentStarted time.Time, identity UpstreamIdentity) Upstream {
	return Upstream{agentStarted: agentStarted, identity: identity}
}

// startedTogether reports whether an announcement is the first one here of an upstream
// that started together with this process.
func (u *Upstream) startedTogether(a Announcement) bool {
	return !u.known && a.Sequence <= earlySequenceMax && a.StartMillis >= u.agentStarted.Add(-startSpread).UnixMilli()
}

// SeenFromStart reports whether all flows of the upstream have passed through this
// process: it received the upstream's first announcement, or it is the first process of
// its agent and the upstream started together with it.
func (u *Upstream) SeenFromStart(firstProcess bool) bool {
	return u.known && (u.fromStart || u.together && firstProcess)
}

// isStale reports whether a later announcement is known. The end of an upstream
// may be announced without its start time; then it is accepted only if the
// upstream was leaving, since an earlier start may have had the same ID.
func (u *Upstream) isStale(a Announcement) bool {
	if a.Ended {
		ended := a.StartMillis == u.last.StartMillis || a.StartMillis == 0 && u.last.Leaving
		return !u.known || a.ID != u.last.ID || !ended
	}
	if !u.known || a.StartMillis > u.last.StartMillis {
		return false
	}
	if a.StartMillis < u.last.StartMillis {
		return true
	}
	// An announcement of an upstream that has ended was delayed on its way.
	return a.ID == u.last.ID && (u.last.Ended || a.Sequence <= u.last.Sequence)
}

// UpstreamState is the state of an upstream.
type UpstreamState string

// States of an upstream.
const (
	UpstreamAbsent  UpstreamState = "absent" // unknown, ended or timed out
	UpstreamWarm    UpstreamState = "warm"
	UpstreamCold    UpstreamState = "cold"
	UpstreamLeaving UpstreamState = "leaving"
)

func (u *Upstream) state(now time.Time) UpstreamState {
	switch {
	case !u.known || u.last.Ended:
		return UpstreamAbsent
	case u.last.Leaving:
		return UpstreamLeaving
	case u.last.ColdRemaining > 0 && now.Before(u.coldUntil):
		return UpstreamCold
	}
	return UpstreamWarm
}

// State returns the upstream's state. An upstream without an announcement for
// longer than the timeout is absent.
func (u *Upstream) State(now time.Time, timeout time.Duration) UpstreamState {
	s := u.state(now)
	if s != UpstreamAbsent && now.Sub(u.lastAnnounced) > timeout {
		return UpstreamAbsent
	}
	return s
}

// Last returns the last announcement.
func (u *Upstream) Last() Announcement { return u.last }

// LastAnnounced returns when the last announcement was received.
func (u *Upstream) LastAnnounced() time.Time { return u.lastAnnounced }
