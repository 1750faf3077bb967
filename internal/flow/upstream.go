package flow

import (
	"time"
)

// Announcement is what an upstream says of itself to the agent beside it.
type Announcement struct {
	ID            string
	StartMillis   int64 // start of the upstream, Unix milliseconds
	Sequence      int64 // rises with each announcement of one start
	Service       string
	Zone          string
	Slots         int
	Leaving       bool
	Ended         bool          // it has ended
	ColdRemaining time.Duration // how much longer it is in cold start
}

// Upstream is the state of the upstream beside an agent, as announced.
type Upstream struct {
	last  Announcement
	known bool
	first bool // its first announcement came here

	agentStarted time.Time
	coldUntil    time.Time
	heard        time.Time
}

// Verdict on an announcement.
type AnnounceResult string

// Verdicts on announcements.
const (
	AnnounceAccepted AnnounceResult = "taken"
	AnnounceChanged  AnnounceResult = "changed"
	AnnounceStale    AnnounceResult = "late" // overtaken by a later one or by a later start
)

// Announce takes an announcement unless a later one is known.
func (u *Upstream) Announce(now time.Time, a Announcement) AnnounceResult {
	if u.overtaken(a) {
		return AnnounceStale
	}
	if a.Ended {
		gone := u.last
		gone.ID, gone.Ended = a.ID, true
		a = gone
	}
	before := *u
	u.first = !a.Ended && u.isFirst(a) || u.first && before.last.StartMillis == a.StartMillis
	u.last, u.known, u.heard = a, true, now
	u.coldUntil = now.Add(a.ColdRemaining)
	if !before.known || before.state(now) != u.state(now) || before.last.StartMillis != a.StartMillis || before.last.ID != a.ID {
		return AnnounceChanged
	}
	return AnnounceAccepted
}

const (
	// firstSequence is the number of the first announcement of a start.
	firstSequence = 1
	// youngSequence is the highest number of an announcement of an upstream that
	// started together with its agent: the agent may not have listened yet.
	youngSequence = 3
	// youngBirth is how much earlier than its agent such an upstream started, at
	// the most: the spread of starts after a loss of power.
	youngBirth = 500 * time.Millisecond
)

// NewUpstream returns an upstream without announcements, beside an agent whose
// process started at the time.
func NewUpstream(agentStarted time.Time) Upstream { return Upstream{agentStarted: agentStarted} }

// isFirst reports whether no earlier process of the agent can have passed flows to
// the start that announces itself.
func (u *Upstream) isFirst(a Announcement) bool {
	if a.Sequence <= firstSequence {
		return true
	}
	return !u.known && a.Sequence <= youngSequence && a.StartMillis >= u.agentStarted.Add(-youngBirth).UnixMilli()
}

// SeenFromStart reports whether the upstream's first announcement came here, so that
// all its flows have passed here.
func (u *Upstream) SeenFromStart() bool { return u.known && u.first }

// overtaken reports whether a later announcement is known. The end of an upstream
// may come without its start; then it counts only after it was announced as
// leaving, since an earlier start may have had the same ID.
func (u *Upstream) overtaken(a Announcement) bool {
	if a.Ended {
		ended := a.StartMillis == u.last.StartMillis || a.StartMillis == 0 && u.last.Leaving
		return !u.known || a.ID != u.last.ID || !ended
	}
	if !u.known || a.StartMillis > u.last.StartMillis {
		return false
	}
	return a.StartMillis < u.last.StartMillis || a.ID == u.last.ID && a.Sequence <= u.last.Sequence
}

// UpstreamState is the condition of an upstream.
type UpstreamState string

// Conditions of an upstream.
const (
	UpstreamAbsent  UpstreamState = "absent" // unknown, ended or silent
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

// State returns the upstream's condition; one that has been silent for longer
// than the limit is absent.
func (u *Upstream) State(now time.Time, silence time.Duration) UpstreamState {
	s := u.state(now)
	if s != UpstreamAbsent && now.Sub(u.heard) > silence {
		return UpstreamAbsent
	}
	return s
}

// Last returns the last announcement.
func (u *Upstream) Last() Announcement { return u.last }

// LastAnnounced returns when the last announcement came.
func (u *Upstream) LastAnnounced() time.Time { return u.heard }
