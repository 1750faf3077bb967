package agent

import (
	"net/netip"
	"time"

	"crocusnotch/internal/membership"
	"crocusnotch/internal/request"
)

// refusalReason returns why new flows are refused, ReasonNone if they are not.
func (l *loop) refusalReason() request.Reason {
	switch {
	case l.zoneOut:
		return request.ReasonZoneOut
	case l.stopping, l.upstream.State == "leaving":
		return request.ReasonDraining
	case !l.hasUpstream():
		return request.ReasonNoUpstream
	case l.service.Load() == nil || l.cfg.Keys == nil:
		return request.ReasonNoConfig
	}
	return request.ReasonNone
}

// publish makes the loop's state visible to other goroutines and updates the
// agent's membership record.
func (l *loop) publish() {
	reason := l.refusalReason()
	l.flowRefusal.Store(&reason)
	l.connections.Store(int64(l.upstream.Connections))
	l.publishView(reason)
	l.publishDraining(reason == request.ReasonDraining)
	l.publishRecord(reason)
}

func (l *loop) publishDraining(draining bool) {
	l.draining.Store(draining)
	l.listenerMu.Lock()
	defer l.listenerMu.Unlock()
	if l.listener != nil {
		l.listener.setDraining(draining)
	}
}

func (l *loop) publishView(reason request.Reason) {
	v := &socketView{
		ring:            l.cfg.Keys,
		refusingFlows:   reason != request.ReasonNone,
		liveEntries:     l.entries,
		departedEntries: l.departedEntries,
		acceptingPeers:  map[netip.AddrPort]bool{},
	}
	if service := l.service.Load(); service != nil {
		v.service = service.ID
	}
	if zone := l.cfg.ByZone[l.agent.settings.Zone]; zone != nil {
		v.zone = zone.ID
	}
	for _, p := range l.peers {
		v.acceptingPeers[p.Addr] = p.State == membership.StateReady || p.State == membership.StateCold
	}
	l.agent.socket.view.Store(v)
}

// recordState returns the state for the agent's membership record.
func (l *loop) recordState(reason request.Reason, cold bool) membership.State {
	switch {
	case reason != request.ReasonNone:
		return membership.StateDraining
	case cold:
		return membership.StateCold
	}
	return membership.StateReady
}

func (l *loop) publishRecord(reason request.Reason) {
	now := time.Now()
	state := l.recordState(reason, l.agent.driver.status().load.Cold)
	serving := l.state != membership.StateDraining && state != membership.StateDraining
	if serving && state != l.state && now.Sub(l.stateSince) < minStateDuration {
		state = l.state
	}
	record := l.newRecord(state)
	if record == l.published {
		return
	}
	l.published = record
	if state != l.state {
		l.state, l.stateSince = state, now
	}
	l.agent.deps.Fleet.Update(func(r *membership.Record) {
		r.Relay = record.Relay
		r.Service = record.Service
		r.Zone = record.Zone
		r.State = record.State
		r.Slots = record.Slots
		r.Connections = record.Connections
	})
}

func (l *loop) newRecord(state membership.State) membership.Record {
	r := membership.Record{
		Relay:       l.agent.settings.Relay,
		State:       state,
		Slots:       clamp16(l.upstream.Slots),
		Connections: uint32(l.upstream.Connections),
	}
	if service := l.service.Load(); service != nil {
		r.Service = service.ID
	}
	if zone := l.cfg.ByZone[l.agent.settings.Zone]; zone != nil {
		r.Zone = zone.ID
	}
	return r
}
