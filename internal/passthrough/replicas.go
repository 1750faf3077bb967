package passthrough

import (
	"maps"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

// Reregister sends the owners of flows again to a replica that has restarted.
func (r *Router) Reregister(entry flow.Endpoint) {
	for k, f := range r.flows {
		for i, replica := range f.replicas {
			if replica == entry {
				f.replicas[i] = flow.Endpoint{}
				r.register(k, f)
			}
		}
	}
}

// register queues the owner of a flow for those of its replicas that do not have
// it yet. A flow that several agents may have accepted is registered once its caller has
// chosen one.
func (r *Router) register(k flow.Key, f *routedFlow) {
	if f.undecided() {
		return
	}
	replicas := flow.ReplicasOf(k, r.view.Entries)
	for _, replica := range replicas {
		if !replica.IsZero() && replica != r.view.Self && !f.replicas.Has(replica) {
			r.pendingRegistrations[replica] = append(r.pendingRegistrations[replica], Registration{Key: k, Owner: f.owner})
		}
	}
	f.replicas = replicas
}

// handleLookup answers another entry's query for the owner of a flow, and forwards
// the packet that came with it.
func (r *Router) handleLookup(from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateOwned || f.undecided() {
		r.out.SendMessage(from, &Message{Kind: KindUnknown, Key: m.Key})
		return
	}
	r.out.SendMessage(from, &Message{Kind: KindOwned, Key: m.Key, Owner: f.owner})
	if len(m.Packet) > 0 {
		r.out.Forward(f.owner, r.metadata(m.Key, r.ownerPurpose(), f.owner), m.Packet)
	}
}

// ensureFlow returns the flow with the key and adds it if it is new.
func (r *Router) ensureFlow(now time.Time, k flow.Key) *routedFlow {
	f := r.flows[k]
	if f == nil {
		f = &routedFlow{openedAt: now, lastSeen: now}
		r.flows[k] = f
	}
	return f
}

func (r *Router) handleRegister(now time.Time, m *Message) {
	for _, p := range m.Registrations {
		f := r.ensureFlow(now, p.Key)
		if f.state == stateOwned && f.owner == p.Owner {
			continue
		}
		delete(r.searching, p.Key)
		f.state, f.owner, f.searchPacket = stateOwned, p.Owner, nil
		f.replicas = flow.ReplicasOf(p.Key, r.view.Entries)
		r.flushQueue(p.Key, f)
	}
}

func (r *Router) flushRegistrations() {
	for _, replica := range slices.SortedFunc(maps.Keys(r.pendingRegistrations), flow.Endpoint.Compare) {
		for registrations := range slices.Chunk(r.pendingRegistrations[replica], maxRegistrations) {
			r.out.SendMessage(replica, &Message{Kind: KindRegister, Registrations: registrations})
		}
	}
	clear(r.pendingRegistrations)
}
