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
	// silentPeriods is the number of missed announcements after which an
	// upstream is taken for gone.
	silentPeriods = 3
	// agentDrain bounds the wait of a stopping agent for a moment without an
	// open request.
	agentDrain = 3 * time.Second
	// idlePoll is the time between two looks for such a moment.
	idlePoll = 2 * time.Millisecond
)

// Agent carries packets between entries, callers and the upstream beside it.
type Agent struct {
	shell
	settings config.PassthroughAgent
	outbound PacketConn

	// Guarded by mu.
	keeper *Keeper
	entry  flow.End // some entry, for flows that no entry has shown
	shown  membership.Record
}

// NewAgent opens the sockets of an agent.
func NewAgent(s config.PassthroughAgent, d Deps) (*Agent, error) {
	a := &Agent{settings: s}
	err := a.setUp(&s.Passthrough, d)
	if err != nil {
		return nil, err
	}
	a.keeper = NewKeeper(KeeperOptions{
		Service: s.Service,
		Started: time.Now(),
		MaxAge:  s.FlowMax(),
		Silence: silentPeriods * time.Duration(s.AnnounceMillis) * time.Millisecond,
		Codec:   d.Codec,
		Out:     a,
		Observe: a.counters.observer(d.Log, a.events),

		Answered: func(d time.Duration) { a.counters.answers.Observe(d.Seconds()) },
	})
	a.gauge("flows", "Flows of the upstream that are known.", func() float64 { return float64(a.keeper.Flows()) })
	a.gauge("busy_requests", "Requests without an answer.", func() float64 { return float64(a.keeper.Busy()) })
	a.gauge("failing_ratio", "Share of the upstream's latest requests that failed.", a.keeper.Failing)
	a.gauge("announcement_age_seconds", "Time since the upstream's last announcement.", func() float64 {
		return time.Since(a.keeper.Heard()).Seconds()
	})
	if a.data, err = d.listen(s.Data); err != nil {
		return nil, err
	}
	if a.outbound, err = d.listen(s.Outbound); err != nil {
		return nil, errors.Join(err, a.data.Close())
	}
	a.shown = membership.Record{
		Role: membership.RoleAgent, State: membership.StateDraining, Service: config.ServiceID(s.Service),
	}
	if a.fleet, err = newNode(&s.Passthrough, a.shown, &d); err != nil {
		return nil, errors.Join(err, a.data.Close(), a.outbound.Close())
	}
	a.fleet.SetServiceName(s.Service)
	a.fleet.SetStatus(a.fillStatus)
	return a, nil
}

// fillStatus tells what the agent believes.
func (a *Agent) fillStatus(s *wire.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.keeper.Last()
	s.Agent = &wire.AgentStatus{
		Service: a.settings.Service, Upstream: last.ID, Slots: last.Slots, Limit: last.Slots,
		Busy: a.keeper.Busy(), Flows: a.keeper.Flows(),
	}
	state := string(a.keeper.State(time.Now()))
	s.Observations = append(
		s.Observations,
		wire.Observation{Subject: "upstream", Value: state, AgeMillis: ageMillis(a.keeper.Heard())},
		wire.Observation{Subject: "requests that fail", Value: strconv.Itoa(int(100*a.keeper.Failing())) + " %"},
	)
}

// Health reports whether the agent has an upstream and takes new flows.
func (a *Agent) Health() (ok bool, reason string) {
	if a.stop.Stopping() {
		return false, "draining"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.keeper.State(time.Now()); s == flow.UpstreamAbsent || s == flow.UpstreamLeaving {
		return false, "upstream " + string(s)
	}
	return true, ""
}

// Run carries packets until ctx ends or a graceful stop is done.
func (a *Agent) Run(ctx context.Context) error {
	f := frame{
		loops:   []func(context.Context) error{a.fleet.Run, a.follow},
		sockets: []PacketConn{a.data, a.outbound},
		readers: []func() error{
			func() error { return receive(a.data, a.readFailed, a.fromEntry) },
			func() error { return receive(a.outbound, a.readFailed, a.fromUpstream) },
		},
		tick:  a.tick,
		drain: a.drain,
	}
	return f.run(ctx)
}

// drain exits at a moment without an open request, if one comes soon: the
// flows stay at the upstream, and the next process learns them from it.
func (a *Agent) drain(ctx context.Context) {
	if !a.stop.Wait(ctx) {
		return
	}
	a.mu.Lock()
	a.keeper.Leave()
	a.mu.Unlock()
	a.deps.Log.Info("draining", "seconds", agentDrain.Seconds())
	limit := time.Now().Add(min(agentDrain, a.settings.Grace()/2))
	a.show(membership.StateDraining, a.slots())
	lifecycle.Sleep(ctx, tickPeriod)
	for time.Now().Before(limit) && ctx.Err() == nil && a.busy() > 0 {
		lifecycle.Sleep(ctx, idlePoll)
	}
	a.fleet.Leave(ctx)
}

func (a *Agent) busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keeper.Busy()
}

// Announce takes an announcement of the upstream. When it returns, the agent
// acts on it.
func (a *Agent) Announce(n flow.Announcement) {
	now := time.Now()
	a.mu.Lock()
	outcome := a.keeper.Announce(now, n)
	state := a.keeper.State(now)
	a.mu.Unlock()
	if outcome != flow.AnnouncedTaken {
		a.deps.Log.Info(
			"announcement", "upstream", n.ID, "born", n.Born, "sequence", n.Sequence, "leaving", n.Leaving,
			"gone", n.Gone, "cold_ms", n.ColdLeft.Milliseconds(), "outcome", string(outcome), "state", string(state),
		)
	}
	a.showUpstream(now)
}

// showUpstream announces the upstream's condition to the fleet when it changed.
func (a *Agent) showUpstream(now time.Time) {
	if a.stop.Stopping() {
		return
	}
	a.mu.Lock()
	state := a.keeper.State(now)
	a.mu.Unlock()
	a.show(recordState(state), a.slots())
}

// slots returns the slots of the upstream. An upstream that has ended has none,
// which tells the fleet that its flows are gone.
func (a *Agent) slots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.keeper.Last()
	if last.Gone {
		return 0
	}
	return last.Slots
}

func recordState(s flow.UpstreamState) membership.State {
	switch s {
	case flow.UpstreamWarm:
		return membership.StateReady
	case flow.UpstreamCold:
		return membership.StateCold
	}
	return membership.StateDraining
}

func (a *Agent) show(state membership.State, slots int) {
	a.mu.Lock()
	before := a.shown
	a.shown.State = state
	a.shown.Slots = uint16(min(slots, 1<<16-1))
	shown := a.shown
	a.mu.Unlock()
	if shown == before {
		return
	}
	a.deps.Log.Info("record", "state", shown.State.String(), "slots", shown.Slots)
	a.fleet.Update(func(r *membership.Record) { r.State, r.Slots = shown.State, shown.Slots })
}

func (a *Agent) fromEntry(from netip.AddrPort, b []byte) {
	if m, err := DecodeMessage(b, a.keys); err == nil {
		a.message(from, &m)
		return
	}
	s, ok := a.packet(b)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keeper.Packet(time.Now(), flow.EndOf(from), &s, b)
}

// message takes a message of an entry; entries only ask.
func (a *Agent) message(from netip.AddrPort, m *Message) {
	if m.Kind != KindAsk {
		a.counters.drop(dropMalformed)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keeper.Asked(time.Now(), flow.EndOf(from), m.Asks)
}

func (a *Agent) fromUpstream(_ netip.AddrPort, b []byte) {
	s, ok := a.packet(b)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keeper.FromUpstream(time.Now(), &s, b, a.entry)
}

func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	a.keeper.Tick(now)
	a.mu.Unlock()
	a.showUpstream(now)
}

// follow puts limits and zones in force after each change.
func (a *Agent) follow(ctx context.Context) error {
	changes := a.fleet.Watch()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
		a.configure(a.fleet.Config(), a.fleet.Members())
		lifecycle.Sleep(ctx, viewPeriod)
	}
}

func (a *Agent) configure(c *config.Fleet, members []membership.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range members {
		if members[i].Role == membership.RoleEntry && members[i].State == membership.StateReady {
			a.entry = flow.EndOf(members[i].Addr)
			break
		}
	}
	var l flow.Limits
	var idle time.Duration
	if p := c.Pools[a.settings.Service]; p != nil {
		l = flow.Limits{Connections: p.Connections, ColdPerSecond: p.ColdPerSecond}
		idle = p.Idle()
	}
	a.keeper.Configure(l, idle, c.ZonesOut[a.settings.Zone])
}

// ToUpstream implements KeeperOutbox.
func (a *Agent) ToUpstream(packet []byte) { a.send(a.outbound, packet, a.settings.Upstream) }

// ToCaller implements KeeperOutbox.
func (a *Agent) ToCaller(k flow.Key, packet []byte) { a.send(a.data, packet, a.callerAddr(k)) }

// Reset implements KeeperOutbox.
func (a *Agent) Reset(k flow.Key, seq uint32) { a.reset(a.data, k, seq) }
