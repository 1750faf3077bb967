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

// applyAnnouncement applies an announcement of the upstream and renews its lease.
func (l *loop) applyAnnouncement(a Announcement) error {
	if l.pinnedService != "" && a.Service != l.pinnedService {
		reason := fmt.Sprintf("this agent serves %s until it is restarted", l.pinnedService)
		return &config.InvalidError{Fields: []config.FieldError{{Path: "service", Reason: reason}}}
	}
	if l.pinnedService == "" {
		l.pinnedService = a.Service
		l.agent.deps.Fleet.SetServiceName(a.Service)
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

// updateService looks up the announced service in the configuration and updates
// the engine.
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

// updateZone closes all flows when operators take the zone out and reopens the
// agent when they take it in.
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
	// Reset the announcement, so that the engine treats the upstream as new.
	l.agent.driver.announce(admission.Announcement{})
	l.announceToEngine()
	l.agent.driver.zoneOut(false)
}

// updateEntries records the live entries, and when others left the membership.
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

// updatePeers records the agents of the service and removes departed ones from
// the engine. Draining agents stay, because they exchange load reports and relay
// their requests.
func (l *loop) updatePeers() {
	var peers []membership.Record
	keep := map[request.AgentRef]bool{}
	for _, m := range l.members {
		if l.isPeer(&m) {
			peers = append(peers, m)
			keep[peerRef(&m)] = true
		}
	}
	for _, p := range l.peers {
		ref := peerRef(&p)
		if !keep[ref] {
			l.agent.driver.removePeer(ref)
		}
	}
	l.peers = peers
	l.agent.peerLoads.retain(peers)
}

// peerRef returns the reference that the peer agent uses for itself. It has the
// incarnation of the process start, which does not change when the agent refutes
// a false report of its death with a higher incarnation in the record.
func peerRef(m *membership.Record) request.AgentRef {
	return request.AgentRef{Addr: m.Relay, Incarnation: m.Boot}
}

// isPeer reports whether a member is a live agent of the same service and region
// whose zone is not taken out. Requests are not relayed between regions.
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
