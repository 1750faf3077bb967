package request

import (
	"net/netip"
	"slices"
)

// relay sends the request to the peer; the end is reported once.
func (w *world) relay(a *agent, x RelayTo) {
	r := a.requests[x.ID]
	w.expect(len(x.Via) <= MaxRelays, "too many relays")
	w.expect(!slices.Contains(x.Via, x.Peer.Addr), "relay loop")
	a.relays[x.ID] = x.Peer
	target := w.at(x.Peer.Addr)
	engine := a.engine
	answer := func(result Result) {
		w.send("relay answer", func() {
			if a.engine == engine {
				w.relayEnd(a, x.ID, x.Peer, result)
			}
		})
	}
	w.send("relay", func() {
		peer := x.Peer
		w.arrive(target, &arrival{
			Request: Request{
				Key: r.Key, Class: r.Class, Deadline: r.Deadline, Via: x.Via,
				Attempt: r.Attempt, Owner: r.Owner, Target: &peer,
			},
			caller: r.caller, answer: answer,
		})
	})
}

func (w *world) relayEnd(a *agent, id ID, peer AgentRef, result Result) {
	if a.relays[id] != peer {
		return
	}
	delete(a.relays, id)
	w.event(a, func() []Action { return a.engine.RelayDone(w.now, id, result) })
}

func (w *world) ask(a *agent, x QueryOwner) {
	a.asks[x.ID] = x.Query
	engine := a.engine
	w.send("ask", func() {
		target := w.at(x.Owner.Addr)
		w.event(target, func() []Action {
			result := target.engine.Resolve(w.now, x.Query)
			w.send("ask answer", func() {
				if a.engine == engine {
					w.askEnd(a, x.ID, x.Query, result)
				}
			})
			return nil
		})
	})
}

func (w *world) askEnd(a *agent, id ID, q Query, result Resolution) {
	if a.asks[id] != q {
		return
	}
	delete(a.asks, id)
	w.event(a, func() []Action { return a.engine.QueryDone(w.now, id, result) })
}

func (w *world) at(addr netip.AddrPort) *agent {
	i := slices.IndexFunc(w.agents, func(a *agent) bool { return a.addr == addr })
	return w.agents[i]
}

func (w *world) send(name string, deliver func()) {
	w.net = append(w.net, message{name: name, deliver: deliver})
}
