package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

const (
	// unresponsiveAfter and unresponsiveQueries are the time and the number of queries
	// without any message from an agent after which it counts as unresponsive. A
	// restarted agent that is alive answers within milliseconds.
	unresponsiveAfter   = 600 * time.Millisecond
	unresponsiveQueries = 3
	// unresponsiveMinAge is the shortest time from an agent's start until it may count as
	// unresponsive: an upstream beside it announces itself about once a second.
	unresponsiveMinAge = time.Second
	// publishedReplyWait is how long a search waits for an agent that has published that
	// no upstream is running there: a round trip between zones, since the record may be
	// older than the answer.
	publishedReplyWait = 10 * time.Millisecond
)

// unanswered counts the queries to an agent since its last message.
type unanswered struct {
	since   time.Time // of the first one
	queries int
}

// withoutUpstream are the agents whose last answer denied flows because no upstream is
// running there, with their incarnations.
type withoutUpstream map[flow.Endpoint]uint64

// unansweredQueries tracks the agents that do not answer queries.
type unansweredQueries map[flow.Endpoint]unanswered

// queried records a query to an agent.
func (s unansweredQueries) queried(now time.Time, agent flow.Endpoint) {
	before, known := s[agent]
	if !known {
		before.since = now
	}
	before.queries++
	s[agent] = before
}

// heard records a message from an agent.
func (s unansweredQueries) heard(agent flow.Endpoint) { delete(s, agent) }

// retain forgets all agents but those that keep reports.
func (s unansweredQueries) retain(keep func(flow.Endpoint) bool) {
	for agent := range s {
		if !keep(agent) {
			delete(s, agent)
		}
	}
}

// isUnresponsive reports whether a restarted agent that has announced no upstream has left
// several queries unanswered. It can't forward packets either, so a flow is not kept
// waiting for it until its caller's deadline: machines whose upstreams have left come
// back for a moment after a loss of power.
func (r *Router) isUnresponsive(now time.Time, agent flow.Endpoint) bool {
	s, known := r.unanswered[agent]
	o := r.view.Owners[agent]
	return known && !o.Announced && now.Sub(o.Since) >= unresponsiveMinAge &&
		s.queries >= unresponsiveQueries && now.Sub(s.since) >= unresponsiveAfter
}

// recordDenial records whether an agent's answer about flows denies them because no
// upstream is running there. Other messages, such as load reports, say nothing about that.
func (r *Router) recordDenial(from flow.Endpoint, m *Message) {
	switch m.Kind {
	case KindNotHeld, KindQueryReply:
		if m.Reason == flow.RefusalNoUpstream {
			r.withoutUpstream[from] = r.view.Owners[from].Incarnation
			return
		}
		delete(r.withoutUpstream, from)
	case KindOwned, KindMayHold:
		delete(r.withoutUpstream, from)
	}
}

// hasNoUpstream reports whether the agent's record or its last answer said that no upstream
// is running there. It owns no flow then, so that no search waits for its reply: it may have
// vanished again.
func (r *Router) hasNoUpstream(agent flow.Endpoint) bool {
	o := r.view.Owners[agent]
	if o.Announced {
		return false
	}
	incarnation, known := r.withoutUpstream[agent]
	return o.NoUpstream || known && o.Incarnation == incarnation
}

// needsNoReply reports whether the agent is not waited for in the search of the flow,
// since no upstream is running there. An answer to this search counts more: the record
// may be older.
func (r *Router) needsNoReply(f *routedFlow, agent flow.Endpoint) bool {
	return r.hasNoUpstream(agent) && f.replyIndex(agent) < 0
}
