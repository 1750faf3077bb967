package passthrough

import (
	"maps"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

// startSearch queries the replicas of the flow one after the other, then all agents.
func (r *Router) startSearch(now time.Time, k flow.Key, f *routedFlow, packet []byte) {
	f.state, f.stage = stateSearching, 0
	f.searchPacket = append(f.searchPacket[:0], packet...)
	r.searching[k] = f
	r.queryNextReplica(now, k, f)
}

func (r *Router) queryNextReplica(now time.Time, k flow.Key, f *routedFlow) {
	replicas := flow.ReplicasOf(k, r.view.Entries)
	for ; f.stage < flow.ReplicaCount; f.stage++ {
		replica := replicas[f.stage]
		if replica.IsZero() || replica == r.view.Self {
			continue
		}
		f.stageStart = now
		r.report(Decision{Kind: DecisionLookup, Key: k, Agent: replica, Tries: int(f.stage) + 1})
		m := &Message{Kind: KindLookup, Key: k}
		if f.replicaHasPacket = r.lookupsInTick < maxDirectSearches; f.replicaHasPacket {
			m.Packet = f.searchPacket
		}
		r.lookupsInTick++
		r.out.SendMessage(replica, m)
		return
	}
	r.queryAgents(now, k, f, flow.Endpoint{})
}

// queryAgents queries the agents that probably own the flow: those of the services of
// its route, or all in a small fleet. except is an agent that is known not to own it,
// or zero.
func (r *Router) queryAgents(now time.Time, k flow.Key, f *routedFlow, except flow.Endpoint) {
	f.stageStart, f.searchedAt, f.stage = now, now, flow.ReplicaCount
	f.queriedAll = len(r.view.Owners) <= searchAllLimit
	f.queried, f.replies, f.relayed = 0, f.replies[:0], nil
	if !except.IsZero() {
		f.queried, f.replies = 1, append(f.replies, reply{agent: except, state: replyDenied})
	}
	for _, agent := range r.view.OwnerAddrs {
		if agent != except && (f.queriedAll || r.routeHasService(k, r.view.Owners[agent].Service)) {
			f.queried++
			r.queryAgent(now, agent, k, f)
		}
	}
	r.searchesInTick++
	r.report(Decision{Kind: DecisionSearch, Key: k, Tries: f.queried})
	if f.queried == 0 {
		r.queryOtherAgents(now, k, f)
	}
}

// queryOtherAgents queries the agents that queryAgents left out, once all others have
// denied the flow. The route may have had other services when the flow was opened,
// which an entry that started later cannot know. In a fleet with more agents than
// searchProofLimit the search ends without a result.
func (r *Router) queryOtherAgents(now time.Time, k flow.Key, f *routedFlow) {
	if len(r.view.Owners) > searchProofLimit {
		r.abandonSearch(now, k, f, "too-many-agents")
		return
	}
	f.stageStart, f.queriedAll = now, true
	for _, agent := range r.view.OwnerAddrs {
		if f.replyIndex(agent) < 0 {
			f.queried++
			r.pendingQueries[agent] = append(r.pendingQueries[agent], k)
		}
	}
	r.report(Decision{Kind: DecisionSearch, Reason: "other-services", Key: k, Tries: f.queried})
}

// abandonSearch ends a search that found neither an owner nor the proof that there is
// none. The next packet of the flow may start another search.
func (r *Router) abandonSearch(now time.Time, k flow.Key, f *routedFlow, reason string) {
	r.report(Decision{Kind: DecisionNotFound, Reason: reason, Key: k, Age: now.Sub(f.openedAt)})
	delete(r.searching, k)
	f.state, f.searchPacket, f.queued, f.relayed = stateUnknown, nil, nil, nil
}

// queryAgent queries an agent whether it owns the flow, immediately or at the next
// tick.
func (r *Router) queryAgent(now time.Time, agent flow.Endpoint, k flow.Key, f *routedFlow) {
	if r.queriesDirectly() {
		r.unanswered.queried(now, agent)
		r.out.Query(agent, r.metadata(k, flow.PurposeQuery, agent), f.searchPacket)
		return
	}
	r.pendingQueries[agent] = append(r.pendingQueries[agent], k)
}

// queriesDirectly reports whether the queries of another search may be sent immediately,
// each in a datagram of its own.
func (r *Router) queriesDirectly() bool {
	datagrams := (r.searchesInTick + 1) * len(r.view.OwnerAddrs)
	return r.searchesInTick < maxDirectSearches && (r.searchesInTick == 0 || datagrams <= maxDirectQueries)
}

// flushQueries sends the queries that were queued until the tick.
func (r *Router) flushQueries(now time.Time) {
	r.searchesInTick, r.lookupsInTick = 0, 0
	for _, agent := range slices.SortedFunc(maps.Keys(r.pendingQueries), flow.Endpoint.Compare) {
		r.unanswered.queried(now, agent)
		for keys := range slices.Chunk(r.pendingQueries[agent], maxQueries) {
			for _, k := range keys {
				if f := r.searching[k]; f != nil && f.stage == flow.ReplicaCount {
					f.stageStart = now
				}
			}
			r.out.SendMessage(agent, &Message{Kind: KindQuery, Queries: keys})
		}
	}
	clear(r.pendingQueries)
}

// awaitAgents handles a search in which agents have not answered, or whose set of
// agents is not complete yet, such as after a loss of power: the packets are kept, and
// agents that have not answered are queried again. Denials stay valid, since an agent
// does not come to own a flow that is open elsewhere.
func (r *Router) awaitAgents(now time.Time, k flow.Key, f *routedFlow) {
	if now.Sub(f.lastSeen) > waitingSearchTTL {
		r.abandonSearch(now, k, f, "")
		return
	}
	unanswered := r.unansweredAgents(now, f)
	switch {
	case len(unanswered) == 0 && r.agentsSettled(now):
		r.concludeUnowned(now, k, f)
	case r.probeDirectly(now, k, f):
	case len(unanswered) > 0 && now.Sub(f.searchedAt) >= searchInterval:
		f.searchedAt = now
		r.queryAgain(now, k, f, unanswered, unanswered)
	case !r.agentStartedAt.Before(f.stageStart):
		started := slices.DeleteFunc(slices.Clone(unanswered), func(a flow.Endpoint) bool {
			return r.view.Owners[a].Since.Before(f.stageStart)
		})
		if len(started) > 0 {
			r.queryAgain(now, k, f, unanswered, started)
		}
	}
}

// isOutOfReach reports whether an agent that has just restarted can't tell whether it owns
// the flow, and can't be sent the packet since the route is not known to have had its
// service. This entry can deliver nothing to it then: the caller is better served by a
// reset than by its deadline.
func (r *Router) isOutOfReach(now time.Time, f *routedFlow, agent flow.Endpoint) bool {
	i := f.replyIndex(agent)
	return i >= 0 && f.replies[i].state == replyNotProbeable && now.Sub(r.view.Owners[agent].Since) < r.restartPeriod
}

// unansweredAgents returns the agents whose denials a reset of the flow waits for.
func (r *Router) unansweredAgents(now time.Time, f *routedFlow) []flow.Endpoint {
	return slices.DeleteFunc(r.agentsWithoutReply(f), func(a flow.Endpoint) bool {
		return r.needsNoReply(f, a) || r.isUnresponsive(now, a) || r.isOutOfReach(now, f, a)
	})
}

// missingReplies returns the number of queried agents that have not denied the flow, without
// those that have published that no upstream is running there.
func (r *Router) missingReplies(k flow.Key, f *routedFlow) int {
	n := f.queried - f.denials()
	for _, agent := range r.view.OwnerAddrs {
		if r.needsNoReply(f, agent) && (f.queriedAll || r.routeHasService(k, r.view.Owners[agent].Service)) {
			n--
		}
	}
	return n
}

// agentsWithoutReply returns the agents that may own the flow and have not denied it.
func (r *Router) agentsWithoutReply(f *routedFlow) []flow.Endpoint {
	var out []flow.Endpoint
	for _, agent := range r.view.OwnerAddrs {
		if i := f.replyIndex(agent); i < 0 || f.replies[i].state != replyDenied {
			out = append(out, agent)
		}
	}
	return out
}

// queryAgain queries some of the agents that have not denied the flow once more. Those
// that received the packet shortly before do not receive it again: three packets at
// wrong upstreams within two seconds count as a broken flow.
func (r *Router) queryAgain(now time.Time, k flow.Key, f *routedFlow, unanswered, agents []flow.Endpoint) {
	recent := now.Sub(f.probedAt) < probeInterval
	f.replies = slices.DeleteFunc(f.replies, func(a reply) bool {
		return a.state != replyDenied && !(a.hasPacket && recent) && slices.Contains(agents, a.agent)
	})
	for i := range f.replies {
		if a := &f.replies[i]; a.state == replyUnknown && a.hasPacket {
			a.state = replyProbeTimeout
		}
	}
	f.stageStart, f.stage, f.queriedAll = now, flow.ReplicaCount, true
	f.queried = len(unanswered) + f.denials()
	for _, agent := range agents {
		r.pendingQueries[agent] = append(r.pendingQueries[agent], k)
	}
	r.report(Decision{Kind: DecisionSearch, Reason: "unanswered", Key: k, Tries: len(agents)})
}
