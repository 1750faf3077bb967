package passthrough

import (
	"maps"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

const (
	// maxDirectProbes is the number of agents of one zone up to which an entry sends each
	// of them the packet itself: a relay adds a hop, and its loss loses all probes.
	maxDirectProbes = 4
	// maxRelayedProbes bounds the agents that a relay sends the packet to.
	maxRelayedProbes = 40
	// maxRelaySize is the largest size of a relay message in bytes: below 1,472, which fill
	// an Ethernet frame with the headers of IP and UDP.
	maxRelaySize = 1471
)

// sendProbes sends the packet of a search to agents of one zone. Beyond maxDirectProbes
// agents, the packet crosses the entry's link once for each of their services: an agent
// relays it to the others. Agents whose last probe in this search was relayed have not
// answered it, so the packet is sent to them directly.
func (r *Router) sendProbes(k flow.Key, f *routedFlow, agents []flow.Endpoint) {
	attempt := f.probeAttempts
	f.probeAttempts++
	unanswered := 0
	byService := map[uint32][]flow.Endpoint{} // by service tag, since a message carries one
	for _, agent := range agents {
		meta := r.metadata(k, flow.PurposeSearch, agent)
		relayed := slices.Index(f.relayed, agent)
		if relayed >= 0 {
			f.relayed = slices.Delete(f.relayed, relayed, relayed+1)
			unanswered++
		}
		// Without a tag the route does not have the agent's service: the agent rejects the
		// packet, and is not named to a relay.
		if len(agents) <= maxDirectProbes || meta.Service == 0 || relayed >= 0 {
			r.out.Forward(agent, meta, f.searchPacket)
			continue
		}
		byService[meta.Service] = append(byService[meta.Service], agent)
	}
	if unanswered > 0 {
		r.report(Decision{Kind: DecisionProbeRelay, Reason: "unanswered", Key: k, Tries: unanswered})
	}
	for _, tag := range slices.Sorted(maps.Keys(byService)) {
		meta := flow.Metadata{Purpose: flow.PurposeSearch, Service: tag}
		for _, p := range planProbes(byService[tag], len(f.searchPacket), k.Hash()+uint64(attempt)) {
			if len(p.others) == 0 {
				r.out.Forward(p.to, meta, f.searchPacket)
				continue
			}
			r.report(Decision{Kind: DecisionProbeRelay, Key: k, Agent: p.to, Tries: len(p.others)})
			r.out.SendMessage(p.to, &Message{
				Kind: KindProbeRelay, Key: k, Owner: r.view.Self, Agents: p.others, Meta: meta, Packet: f.searchPacket,
			})
			f.relayed = append(append(f.relayed, p.to), p.others...)
		}
	}
}

// probeDirectly probes the agents of a search again whose last probe was relayed and has
// not been answered. It does not query them first, as a repeated search does: a relay
// that has died does not answer, and the search would wait for it. It does so after
// probeInterval, since a message that is late can't be told from one that was lost. ok is
// false when there is nothing to probe.
func (r *Router) probeDirectly(now time.Time, k flow.Key, f *routedFlow) (ok bool) {
	if len(f.relayed) == 0 || now.Sub(f.probedAt) < probeInterval {
		return false
	}
	found := false
	for i := range f.replies {
		a := &f.replies[i]
		if (a.state == replyUnknown || a.state == replyProbeTimeout) && slices.Contains(f.relayed, a.agent) {
			a.state, a.hasPacket, found = replyUnknown, false, true
		}
	}
	if !found {
		return false
	}
	f.stage = flow.ReplicaCount
	if r.probeNext(now, k, f) {
		return true
	}
	f.stage = stageAwaitAgents
	return false
}

// plannedProbe is a probe that an entry sends.
type plannedProbe struct {
	to     flow.Endpoint
	others []flow.Endpoint // agents that it relays the packet to; none for a direct probe
}

// planProbes divides agents among as few relays as the size of a datagram allows.
// packetSize is in bytes; seed selects the relays.
func planProbes(agents []flow.Endpoint, packetSize int, seed uint64) []plannedProbe {
	if len(agents) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(agents), flow.Endpoint.Compare)
	first := int(seed % uint64(len(sorted)))
	sorted = slices.Concat(sorted[first:], sorted[:first])
	room := (maxRelaySize - headerSize - probeMetaSize - agentCountSize - packetSize) / endpointSize
	var out []plannedProbe
	for group := range slices.Chunk(sorted, 1+max(0, min(room, maxRelayedProbes))) {
		out = append(out, plannedProbe{to: group[0], others: group[1:]})
	}
	return out
}

// Message handles a message from an entry or a relay. valid is false for one that an
// agent does not handle.
func (t *Tracker) Message(now time.Time, from flow.Endpoint, m *Message) (valid bool) {
	switch m.Kind {
	case KindQuery:
		t.Query(now, from, m.Queries)
		return true
	case KindProbeRelay, KindProbe:
		return t.handleProbe(now, m)
	case KindAbandon:
		t.Abandon(m.Key)
		return true
	}
	return false
}

// handleProbe handles a probe as a packet that the entry named in it has sent, after
// relaying it to the agents that it names.
func (t *Tracker) handleProbe(now time.Time, m *Message) (valid bool) {
	s, err := t.Codec.Decode(m.Packet)
	if err != nil || s.Opening || s.KeyFromCaller() != m.Key {
		return false
	}
	if m.Kind == KindProbeRelay {
		t.Observe(Decision{Kind: DecisionProbeRelay, Key: m.Key, Agent: m.Owner, Tries: len(m.Agents)})
		for _, agent := range m.Agents {
			if agent != t.Self {
				t.Out.SendMessage(agent, &Message{Kind: KindProbe, Key: m.Key, Owner: m.Owner, Meta: m.Meta, Packet: m.Packet})
			}
		}
	}
	t.Codec.SetMetadata(m.Packet, m.Meta)
	t.Packet(now, m.Owner, &s, m.Packet)
	return true
}
