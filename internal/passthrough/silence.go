package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

const (
	// silentAfter and silentQueries are the time and the number of queries without any
	// message from an agent after which it counts as silent. A restarted agent that is
	// alive answers within milliseconds.
	silentAfter   = 600 * time.Millisecond
	silentQueries = 3
	// silentMinAge is the shortest time from an agent's start until it may count as
	// silent: an upstream beside it announces itself about once a second.
	silentMinAge = time.Second
)

// silence is how long an agent has left queries unanswered.
type silence struct {
	since   time.Time // first query without an answer
	queries int
}

// silences tracks the agents that do not answer queries.
type silences map[flow.Endpoint]silence

// queried records a query to an agent.
func (s silences) queried(now time.Time, agent flow.Endpoint) {
	before, known := s[agent]
	if !known {
		before.since = now
	}
	before.queries++
	s[agent] = before
}

// heard records a message from an agent.
func (s silences) heard(agent flow.Endpoint) { delete(s, agent) }

// retain forgets all agents but those that keep reports.
func (s silences) retain(keep func(flow.Endpoint) bool) {
	for agent := range s {
		if !keep(agent) {
			delete(s, agent)
		}
	}
}

// isSilent reports whether a restarted agent that has announced no upstream has left
// several queries unanswered. It can't forward packets either, so a flow is not kept
// waiting for it until its caller's deadline: machines whose upstreams have left come
// back for a moment after a loss of power.
func (r *Router) isSilent(now time.Time, agent flow.Endpoint) bool {
	s, known := r.silences[agent]
	o := r.view.Owners[agent]
	return known && !o.Announced && now.Sub(o.Since) >= silentMinAge &&
		s.queries >= silentQueries && now.Sub(s.since) >= silentAfter
}
