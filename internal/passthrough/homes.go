package passthrough

import (
	"maps"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

// Reregister lets homes that restarted hear of all flows again.
func (r *Router) Reregister(entry flow.Endpoint) {
	for k, f := range r.flows {
		for i, h := range f.homes {
			if h == entry {
				f.homes[i] = flow.Endpoint{}
				r.register(k, f)
			}
		}
	}
}

// register tells the homes of a flow its owner, those excepted that know it.
func (r *Router) register(k flow.Key, f *routed) {
	homes := flow.ReplicasOf(k, r.view.Entries)
	for _, h := range homes {
		if !h.IsZero() && h != r.view.Self && !f.homes.Has(h) {
			r.pending[h] = append(r.pending[h], Registration{Key: k, Owner: f.owner})
		}
	}
	f.homes = homes
}

// lookup answers another entry that asks for the owner of a flow, and hands the
// packet on.
func (r *Router) lookup(from flow.Endpoint, m *Message) {
	f := r.flows[m.Key]
	if f == nil || f.state != stateOwned {
		r.out.SendMessage(from, &Message{Kind: KindUnknown, Key: m.Key})
		return
	}
	r.out.SendMessage(from, &Message{Kind: KindOwned, Key: m.Key, Owner: f.owner})
	if len(m.Packet) > 0 {
		r.out.Forward(f.owner, r.note(m.Key, flow.PurposeOwner, f.owner), m.Packet)
	}
}

// known returns the flow, which is noted if it is new.
func (r *Router) known(now time.Time, k flow.Key) *routed {
	f := r.flows[k]
	if f == nil {
		f = &routed{opened: now, seen: now}
		r.flows[k] = f
	}
	return f
}

func (r *Router) registered(now time.Time, m *Message) {
	for _, p := range m.Registrations {
		f := r.known(now, p.Key)
		if f.state == stateOwned && f.owner == p.Owner {
			continue
		}
		delete(r.searching, p.Key)
		f.state, f.owner, f.held = stateOwned, p.Owner, nil
		f.homes = flow.ReplicasOf(p.Key, r.view.Entries)
		r.release(p.Key, f)
	}
}

func (r *Router) flush() {
	for _, home := range slices.SortedFunc(maps.Keys(r.pending), flow.Endpoint.Compare) {
		for pairs := range slices.Chunk(r.pending[home], maxPairs) {
			r.out.SendMessage(home, &Message{Kind: KindRegister, Registrations: pairs})
		}
	}
	clear(r.pending)
}
