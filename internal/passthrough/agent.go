package passthrough

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const (
	// missedAnnouncements is the number of missed announcements after which an
	// upstream times out.
	missedAnnouncements = 3
	// agentDrainTimeout bounds how long a stopping agent waits for a moment without
	// unanswered requests.
	agentDrainTimeout = 3 * time.Second
	// idlePollInterval is the interval at which the stopping agent checks for such a
	// moment.
	idlePollInterval = 2 * time.Millisecond
)

// Agent forwards packets between entries, callers and the upstream on its instance.
type Agent struct {
	base
	settings config.PassthroughAgent
	outbound PacketConn
	checker  *upstreamChecker // nil unless the settings ask for checks

	// Guarded by mu.
	tracker   *Tracker
	anyEntry  flow.Endpoint // any ready entry, which is notified of flows that no entry has sent packets of
	published membership.Record
}

// NewAgent opens the sockets of an agent.
func NewAgent(s config.PassthroughAgent, d Deps) (*Agent, error) {
	a := &Agent{settings: s}
	err := a.setUp(&s.Passthrough, d)
	if err != nil {
		return nil, err
	}
	a.tracker = NewTracker(TrackerOptions{
		Self:            flow.EndpointOf(s.Data),
		Upstream:        flow.UpstreamIdentity{Service: s.Service, Address: s.Upstream, Zone: s.Zone},
		Started:         time.Now(),
		MaxAge:          s.FlowMax(),
		UpstreamTimeout: missedAnnouncements * time.Duration(s.AnnounceMillis) * time.Millisecond,
		Codec:           d.Codec,
		Out:             a,
		ScarceSlots:     s.ScarceSlots,
		Observe:         a.counters.observer(d.Log, a.events),

		ObserveAnswer: func(d time.Duration) { a.counters.answers.Observe(d.Seconds()) },
	})
	if s.CheckUpstream {
		a.checker = a.newUpstreamChecker(d.ConnectUpstream)
	}
	a.gauge("flows", "Flows of the upstream that are known.", func() float64 { return float64(a.tracker.Flows()) })
	a.gauge("busy_requests", "Requests without an answer.", func() float64 { return float64(a.tracker.Busy()) })
	a.gauge("failing_ratio", "Share of the upstream's latest requests that failed.", a.tracker.FailureRate)
	a.gauge("service_time_seconds", "Time that a request takes once it has a slot, 0 if it is not known.", func() float64 {
		return a.tracker.currentLoad().ServiceTime.Seconds()
	})
	a.gauge("waiting_openings", "Openings of flows that wait for free capacity.", func() float64 { return float64(a.tracker.waiting.Len()) })
	a.gauge("limit_requests", "Busy requests up to which the last opening was admitted, 0 without such a limit.", func() float64 {
		return float64(a.tracker.lastLimit)
	})
	a.gauge("announcement_age_seconds", "Time since the upstream's last announcement.", func() float64 {
		return time.Since(a.tracker.LastAnnounced()).Seconds()
	})
	if a.data, err = d.listen(s.Data); err != nil {
		return nil, err
	}
	if a.outbound, err = d.listen(s.Outbound); err != nil {
		return nil, errors.Join(err, a.data.Close())
	}
	a.published = membership.Record{
		Role: membership.RoleAgent, State: membership.StateDraining, Service: config.ServiceID(s.Service),
	}
	if a.fleet, err = newFleetNode(&s.Passthrough, a.published, &d); err != nil {
		return nil, errors.Join(err, a.data.Close(), a.outbound.Close())
	}
	a.fleet.SetServiceName(s.Service)
	a.fleet.SetStatus(a.fillStatus)
	return a, nil
}

// fillStatus adds the agent's state to a status report.
func (a *Agent) fillStatus(s *wire.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.tracker.Last()
	s.Agent = &wire.AgentStatus{
		Service: a.settings.Service, Upstream: last.ID, Slots: last.Slots, Limit: last.Slots,
		Busy: a.tracker.Busy(), Flows: a.tracker.Flows(),
	}
	state := string(a.tracker.State(time.Now()))
	s.Observations = append(
		s.Observations,
		wire.Observation{Subject: "upstream", Value: state, AgeMillis: ageMillis(a.tracker.LastAnnounced())},
		wire.Observation{Subject: "requests that fail", Value: strconv.Itoa(int(100*a.tracker.FailureRate())) + " %"},
	)
}

// Health reports whether the agent has an upstream and accepts new flows.
func (a *Agent) Health() (ok bool, reason string) {
	if a.stop.Stopping() {
		return false, "draining"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.tracker.State(time.Now()); s == flow.UpstreamAbsent || s == flow.UpstreamLeaving {
		return false, "upstream " + string(s)
	}
	return true, ""
}

// Run forwards packets until ctx is cancelled or a graceful stop is complete.
func (a *Agent) Run(ctx context.Context) error {
	r := runner{
		loops:   []func(context.Context) error{a.fleet.Run, a.watchFleet},
		sockets: []PacketConn{a.data, a.outbound},
		readers: []func() error{
			func() error { return receive(a.data, a.countReadError, a.handleEntryDatagram) },
			func() error { return receive(a.outbound, a.countReadError, a.handleUpstreamPacket) },
		},
		tick:  a.tick,
		drain: a.drain,
	}
	if a.checker != nil {
		r.loops = append(r.loops, a.checker.run)
	}
	return r.run(ctx)
}

// drain waits for a stop, then for a moment without unanswered requests, but no
// longer than agentDrainTimeout. The flows stay open at the upstream, and the next
// process learns them from its packets.
func (a *Agent) drain(ctx context.Context) {
	if !a.stop.Wait(ctx) {
		return
	}
	a.mu.Lock()
	a.tracker.Drain()
	a.mu.Unlock()
	a.deps.Log.Info("draining", "seconds", agentDrainTimeout.Seconds())
	limit := time.Now().Add(min(agentDrainTimeout, a.settings.Grace()/2))
	a.publish(membership.StateDraining, a.slots())
	lifecycle.Sleep(ctx, tickPeriod)
	for time.Now().Before(limit) && ctx.Err() == nil && a.busy() > 0 {
		lifecycle.Sleep(ctx, idlePollInterval)
	}
	a.fleet.Leave(ctx)
}

func (a *Agent) busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Busy()
}

// Announce applies an announcement of the upstream and returns its effect, which it has
// when the method returns.
func (a *Agent) Announce(n flow.Announcement) flow.AnnounceResult {
	now := time.Now()
	a.mu.Lock()
	outcome := a.tracker.Announce(now, n)
	state := a.tracker.State(now)
	a.mu.Unlock()
	a.counters.announcements.WithLabelValues(string(outcome)).Inc()
	if outcome != flow.AnnounceAccepted {
		address := "" // the end of an upstream has none
		if n.Address.IsValid() {
			address = n.Address.String()
		}
		a.deps.Log.Info(
			"announcement", "upstream", n.ID, "service", n.Service, "address", address, "zone", n.Zone,
			"born", n.StartMillis, "sequence", n.Sequence, "leaving", n.Leaving,
			"gone", n.Ended, "cold_ms", n.ColdRemaining.Milliseconds(), "outcome", string(outcome), "state", string(state),
		)
	}
	a.publishUpstream(now)
	return outcome
}

// publishUpstream updates the agent's membership record if the upstream's state
// changed.
func (a *Agent) publishUpstream(now time.Time) {
	if a.stop.Stopping() {
		return
	}
	a.mu.Lock()
	state := a.tracker.State(now)
	a.mu.Unlock()
	a.publish(memberState(state), a.slots())
}

// slots returns the slots of the upstream. It is 0 for an upstream that has ended,
// from which other instances conclude that its flows have ended too.
func (a *Agent) slots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.tracker.Last()
	if last.Ended {
		return 0
	}
	return last.Slots
}

func memberState(s flow.UpstreamState) membership.State {
	switch s {
	case flow.UpstreamWarm:
		return membership.StateReady
	case flow.UpstreamCold:
		return membership.StateCold
	}
	return membership.StateDraining
}

func (a *Agent) publish(state membership.State, slots int) {
	a.mu.Lock()
	before := a.published
	a.published.State = state
	a.published.Slots = uint16(min(slots, 1<<16-1))
	a.published.NoUpstream = a.tracker.withoutUpstream()
	record := a.published
	a.mu.Unlock()
	if record == before {
		return
	}
	a.deps.Log.Info("record", "state", record.State.String(), "slots", record.Slots, "no_upstream", record.NoUpstream)
	a.fleet.Update(func(r *membership.Record) {
		// The latest state, since updates of several goroutines may be applied in any order.
		a.mu.Lock()
		defer a.mu.Unlock()
		r.State, r.Slots, r.NoUpstream = a.published.State, a.published.Slots, a.published.NoUpstream
	})
}

func (a *Agent) handleEntryDatagram(from netip.AddrPort, b []byte) {
	if m, err := DecodeMessage(b, a.keys); err == nil {
		a.handleMessage(from, &m)
		return
	}
	s, ok := a.decodePacket(b)
	if !ok {
		return
	}
	stale := s.Opening && (a.pause.Paused() || a.fleet.AwaitingEntry())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.SetStale(stale)
	a.tracker.SetRestarted(a.fleet.Restarted())
	if a.codec.Metadata(b).Purpose == flow.PurposeQuery {
		a.queried()
	}
	a.tracker.Packet(time.Now(), flow.EndpointOf(from), &s, b)
}

// queried checks the upstream after a query, if the settings ask for checks.
func (a *Agent) queried() {
	if a.checker != nil {
		a.checker.queried()
	}
}

// handleMessage handles a message from an entry or a relay.
func (a *Agent) handleMessage(from netip.AddrPort, m *Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.SetRestarted(a.fleet.Restarted())
	if m.Kind == KindQuery {
		a.queried()
	}
	if !a.tracker.Message(time.Now(), flow.EndpointOf(from), m) {
		a.counters.countDropped(dropMalformed)
	}
}

func (a *Agent) handleUpstreamPacket(_ netip.AddrPort, b []byte) {
	s, ok := a.decodePacket(b)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.FromUpstream(time.Now(), &s, b, a.anyEntry)
}

func (a *Agent) tick(now time.Time) {
	a.checkPause(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		// An upstream may have started meanwhile. now may be from before the pause.
		a.tracker.SetUpstreamRefused(time.Now(), false)
	})
	a.mu.Lock()
	a.tracker.Tick(now)
	a.mu.Unlock()
	a.publishUpstream(now)
}

// watchFleet applies limits and zones after each change of the configuration or
// the members.
func (a *Agent) watchFleet(ctx context.Context) error {
	changes := a.fleet.Watch()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
		a.configure(a.fleet.Config(), a.fleet.Members())
		lifecycle.Sleep(ctx, viewIntervalMin)
	}
}

func (a *Agent) configure(c *config.Fleet, members []membership.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range members {
		if members[i].Role == membership.RoleEntry && members[i].State == membership.StateReady {
			a.anyEntry = flow.EndpointOf(members[i].Addr)
			break
		}
	}
	var l flow.Limits
	var idle time.Duration
	if p := c.Pools[a.settings.Service]; p != nil {
		l = flow.Limits{Connections: p.Connections, ColdPerSecond: p.ColdPerSecond}
		idle = p.Idle()
	}
	a.tracker.Configure(l, idle, c.ZonesOut[a.settings.Zone])
}

// ToUpstream implements TrackerOutbox.
func (a *Agent) ToUpstream(packet []byte) { a.send(a.outbound, packet, a.settings.Upstream) }

// ToCaller implements TrackerOutbox.
func (a *Agent) ToCaller(k flow.Key, packet []byte) { a.send(a.data, packet, a.callerAddr(k)) }

// Reset implements TrackerOutbox.
func (a *Agent) Reset(k flow.Key, seq uint32) { a.sendReset(a.data, k, seq) }
