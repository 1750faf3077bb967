package request

import (
	"net/netip"
	"slices"
)

// relay sends the request to the peer.
func (w *simulation) relay(a *agent, x RelayTo) {
	r := a.requests[x.ID]
	w.expect(len(x.Via) <= MaxRelays, "too many relays")
	w.expect(!slices.Contains(x.Via, x.Peer.Addr), "relay loop")
	a.relays[x.ID] = x.Peer
	target := w.agentAt(x.Peer.Addr)
	engine := a.engine
	respond := func(result Result) {
		w.send("relay response", func() {
			if a.engine == engine {
				w.endRelay(a, x.ID, x.Peer, result)
			}
		})
	}
	w.send("relay", func() {
		peer := x.Peer
		w.submit(target, &agentRequest{
			Request: Request{
				Key: r.Key, Class: r.Class, Deadline: r.Deadline, Via: x.Via,
				Attempt: r.Attempt, Owner: r.Owner, Target: &peer,
			},
			caller: r.caller, respond: respond,
		})
	})
}

func (w *simulation) endRelay(a *agent, id ID, peer AgentRef, result Result) {
	if a.relays[id] != peer {
		return
	}
	delete(a.relays, id)
	w.event(a, func() []Action { return a.engine.RelayDone(w.now, id, result) })
}

func (w *simulation) query(a *agent, x QueryOwner) {
	a.queries[x.ID] = x.Query
	engine := a.engine
	w.send("query", func() {
		target := w.agentAt(x.Owner.Addr)
		w.event(target, func() []Action {
			result := target.engine.Resolve(w.now, x.Query)
			w.send("query response", func() {
				if a.engine == engine {
					w.endQuery(a, x.ID, x.Query, result)
				}
			})
			return nil
		})
	})
}

func (w *simulation) endQuery(a *agent, id ID, q Query, result Resolution) {
	if a.queries[id] != q {
		return
	}
	delete(a.queries, id)
	w.event(a, func() []Action { return a.engine.QueryDone(w.now, id, result) })
}

func (w *simulation) agentAt(addr netip.AddrPort) *agent {
	i := slices.IndexFunc(w.agents, func(a *agent) bool { return a.addr == addr })
	return w.agents[i]
}

func (w *simulation) send(name string, deliver func()) {
	w.net = append(w.net, message{name: name, deliver: deliver})
}
