package agent

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/request"
)

// adopt takes an announcement of the upstream.
func (l *loop) applyAnnouncement(a Announcement) error {
	if l.pinnedService != "" && a.Service != l.pinnedService {
		reason := fmt.Sprintf("this agent serves %s until it is restarted", l.pinnedService)
		return &config.InvalidError{Fields: []config.FieldError{{Path: "service", Reason: reason}}}
	}
	if l.pinnedService == "" {
		l.pinnedService = a.Service
		l.agent.deps.Fleet.Follow(a.Service)
	}
	l.leaseUntil = time.Now().Add(announceLease)
	if a == l.upstream {
		return nil
	}
	what := fmt.Sprintf("upstream %s %s to %s", a.Address, l.upstream.stateName(), a.stateName())
	l.recordUpstreamEvent(what, fmt.Sprintf("it announced %d slots, %d connections", a.Slots, a.Connections))
	l.upstream = a
	l.agent.upstream.setAddress(a.Address)
	l.agent.socket.paths.setCapacity(a.Connections)
	l.updateService()
	l.publish()
	return nil
}

// adoptService looks the announced service up in the configuration and tells
// the engine of the upstream.
func (l *loop) updateService() {
	service := l.findService()
	if service != nil && l.service.Load() != service {
		l.agent.driver.setTargets(service.Targets)
		l.agent.driver.zoneOut(l.zoneOut)
	}
	l.service.Store(service)
	if service != nil && l.stopping {
		l.agent.driver.drain()
	}
	l.announceToEngine()
}

func (l *loop) findService() *config.Service {
	for _, s := range l.cfg.Services {
		if s.Name == l.pinnedService {
			return s
		}
	}
	return nil
}

func (l *loop) announceToEngine() {
	a := admission.Announcement{}
	if l.hasUpstream() && l.service.Load() != nil {
		a.Slots = l.upstream.Slots
		a.Connections = l.upstream.Connections
		a.State = l.upstream.admissionState()
	}
	l.agent.driver.announce(a)
}

func (l *loop) hasUpstream() bool { return l.upstream.State != "" }

// adoptZone acts on operators taking the zone out or in.
func (l *loop) updateZone() {
	zone := l.cfg.ByZone[l.agent.settings.Zone]
	out := zone != nil && zone.Out
	if out == l.zoneOut {
		return
	}
	l.zoneOut = out
	if out {
		l.agent.driver.zoneOut(true)
		n := l.agent.flows.closeAll(request.ReasonZoneOut)
		l.recordZoneEvent("in to out", fmt.Sprintf("operators took the zone out; %d flows closed", n))
		return
	}
	l.recordZoneEvent("out to in", "operators took the zone in")
	l.agent.flows.reopen()
	// The upstream comes back as a fresh one.
	l.agent.driver.announce(admission.Announcement{})
	l.announceToEngine()
	l.agent.driver.zoneOut(false)
}

// adoptEntries keeps the live entries, and since when others are gone.
func (l *loop) updateEntries() {
	var entries []netip.AddrPort
	for _, m := range l.members {
		if m.Role == membership.RoleEntry {
			entries = append(entries, m.Addr)
		}
	}
	slices.SortFunc(entries, netip.AddrPort.Compare)
	departed := map[netip.AddrPort]time.Time{}
	for a, since := range l.departedEntries {
		if !contains(entries, a) && time.Since(since) < pathIdleTimeout {
			departed[a] = since
		}
	}
	for _, a := range l.entries {
		if !contains(entries, a) {
			departed[a] = time.Now()
		}
	}
	l.entries, l.departedEntries = entries, departed
}

func contains(sorted []netip.AddrPort, a netip.AddrPort) bool {
	_, found := slices.BinarySearchFunc(sorted, a, netip.AddrPort.Compare)
	return found
}

// adoptPeers keeps the agents of the service. All of them exchange loads, also
// those that drain and relay their requests; the engine forgets those that
// have gone.
func (l *loop) updatePeers() {
	var peers []membership.Record
	keep := map[request.Ref]bool{}
	for _, m := range l.members {
		if l.isPeer(&m) {
			peers = append(peers, m)
			keep[peerRef(&m)] = true
		}
	}
	for _, p := range l.peers {
		ref := peerRef(&p)
		if !keep[ref] {
			l.agent.driver.peerGone(ref)
		}
	}
	l.peers = peers
	l.agent.peerLoads.retain(peers)
}

// peerRef returns the reference that the peer agent gives itself. It carries
// the incarnation of the start, which stays when the record's rises after a
// wrong report of death.
func peerRef(m *membership.Record) request.Ref {
	return request.Ref{Addr: m.Relay, Incarnation: m.Boot}
}

// isPeer reports whether a member serves this agent's service. Work stays in
// the region.
func (l *loop) isPeer(m *membership.Record) bool {
	service := l.service.Load()
	if service == nil || m.Role != membership.RoleAgent || m.Service != service.ID {
		return false
	}
	if m.Addr == l.agent.settings.Data || l.cfg.ZoneOut(m.Zone) {
		return false
	}
	own := l.cfg.ByZone[l.agent.settings.Zone]
	if own != nil && l.cfg.Region(m.Zone) != own.Region {
		return false
	}
	return !m.State.Final() && m.State != membership.StateSuspect
}
