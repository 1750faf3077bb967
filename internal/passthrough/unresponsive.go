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
)

// unanswered counts the queries to an agent since its last message.
type unanswered struct {
	since   time.Time // of the first one
	queries int
}

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
