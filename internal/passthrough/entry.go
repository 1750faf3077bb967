package passthrough

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const (
	// entryDrainTime is the time from the publication of the draining state until
	// the entry exits: two missed readiness checks, half a second apart, and their
	// delay.
	entryDrainTime = 2 * time.Second
	// readyTimeout is how long an entry waits after its start for a verified
	// configuration before it uses the one that its peers have.
	readyTimeout = 1500 * time.Millisecond
	// joinPeriod is how long an entry waits for a snapshot of a peer before it treats the
	// agents that it knows as complete: a fleet may have one entry only.
	joinPeriod = 5 * time.Second
	// viewIntervalMin is the shortest time between two updates of the view.
	viewIntervalMin = 20 * time.Millisecond
	// viewIntervalMax is the longest time between two updates of the view.
	viewIntervalMax = time.Second
)

// Entry forwards packets of callers to agents.
type Entry struct {
	base
	settings config.PassthroughEntry
	callers  PacketConn
	started  time.Time
	router   *Router // guarded by mu
	ready    atomic.Bool
	// checkpointer is nil unless the settings ask for checkpoints of flows.
	checkpointer *checkpointer
	// withoutAgents is the number of services whose only agents are in zones out of service.
	withoutAgents atomic.Int64
}

// NewEntry opens the sockets of an entry.
func NewEntry(s config.PassthroughEntry, d Deps) (*Entry, error) {
	e := &Entry{settings: s, started: time.Now()}
	err := e.setUp(&s.Passthrough, d)
	if err != nil {
		return nil, err
	}
	e.router = NewRouter(s.Zone, s.FlowMax(), e, e.counters.observer(d.Log, e.events))
	e.router.SetPaused(e.pause.Paused)
	e.router.SetJoined(false)
	e.router.SetDisrupted(s.Disrupted())
	if s.Hedge != nil {
		e.router.SetHedging(s.Hedge.Share)
	}
	if s.CheckpointFlows > 0 && d.Checkpoints != nil {
		e.checkpointer = newCheckpointer(e)
		e.gauge("checkpoint_flows", "Flows in the checkpoint that this entry wrote last, 0 unless it writes one.", func() float64 { return float64(e.checkpointer.flows) })
	}
	e.gauge("flows", "Flows that are known, also as a home.", func() float64 { return float64(e.router.Flows()) })
	e.gauge("resets_waiting", "Flows without an owner that wait for their reset.", func() float64 { return float64(e.router.resets.waiting()) })
	e.counters.gauge("services_without_agents", "Services whose only agents are in zones out of service.", func() float64 {
		return float64(e.withoutAgents.Load())
	})
	e.counters.gauge("configuration_age_seconds", "Time since the configuration was known to be the latest.", e.configurationAge)
	e.counters.gauge("configuration_version", "Version of the routes in force.", func() float64 {
		return float64(e.fleet.Config().RoutesVersion)
	})
	if e.callers, err = d.listen(s.Fabric); err != nil {
		return nil, err
	}
	if e.data, err = d.listen(s.Data); err != nil {
		return nil, errors.Join(err, e.callers.Close())
	}
	self := membership.Record{Role: membership.RoleEntry, State: membership.StateReady}
	if e.fleet, err = newFleetNode(&s.Passthrough, self, &d); err != nil {
		return nil, errors.Join(err, e.callers.Close(), e.data.Close())
	}
	e.fleet.SetStatus(e.fillStatus)
	e.fleet.SetWhere(e.where)
	return e, nil
}

// fillStatus adds the entry's state to a status report.
func (e *Entry) fillStatus(s *wire.Status) {
	verifiedAt := e.fleet.VerifiedAt()
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.router.view
	agents := 0
	for _, list := range v.Agents {
		agents += len(list)
	}
	s.Observations = append(
		s.Observations,
		wire.Observation{Subject: "routes", Value: fmt.Sprintf("version %d, %d routes", v.Fleet.RoutesVersion, len(v.Fleet.Routes)), AgeMillis: ageMillis(verifiedAt)},
		wire.Observation{Subject: "agents that take flows", Value: strconv.Itoa(agents), AgeMillis: ageMillis(e.router.joins.Last())},
		wire.Observation{Subject: "flows", Value: strconv.Itoa(e.router.Flows())},
	)
	if e.checkpointer != nil {
		s.Observations = append(s.Observations, e.checkpointer.status())
	}
	for zone := range v.Fleet.ZonesOut {
		s.Observations = append(s.Observations, wire.Observation{Subject: "zone out", Value: zone, AgeMillis: ageMillis(verifiedAt)})
	}
	for service, zones := range servicesWithoutAgents(v) {
		s.Observations = append(s.Observations, wire.Observation{Subject: "service without agents", Value: service + ", out: " + strings.Join(zones, " ")})
	}
}

// ageMillis returns the milliseconds since at, or -1 if at is zero.
func ageMillis(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// Health reports whether the entry can place new flows.
func (e *Entry) Health() (ok bool, reason string) {
	if e.stop.Stopping() {
		return false, "draining"
	}
	if !e.ready.Load() {
		return false, "routes or agents not known yet"
	}
	return true, ""
}

// Run forwards packets until ctx is cancelled or a graceful stop is complete.
func (e *Entry) Run(ctx context.Context) error {
	r := runner{
		loops:   []func(context.Context) error{e.fleet.Run, e.watchFleet},
		sockets: []PacketConn{e.callers, e.data},
		readers: []func() error{
			func() error { return receive(e.callers, e.countReadError, e.handleCallerPacket) },
			func() error { return receive(e.data, e.countReadError, e.handlePeerMessage) },
		},
		tick:  e.tick,
		drain: e.drain,
	}
	if e.checkpointer != nil {
		r.loops = append(r.loops, e.checkpointer.run)
	}
	return r.run(ctx)
}

func (e *Entry) drain(ctx context.Context) {
	if !e.stop.Wait(ctx) {
		return
	}
	period := min(entryDrainTime, e.settings.Grace()/2)
	e.deps.Log.Info("draining", "seconds", period.Seconds())
	e.fleet.Update(func(r *membership.Record) { r.State = membership.StateDraining })
	lifecycle.Sleep(ctx, period)
	e.fleet.Leave(ctx)
}

func (e *Entry) configurationAge() float64 { return time.Since(e.fleet.VerifiedAt()).Seconds() }

func (e *Entry) handleCallerPacket(_ netip.AddrPort, b []byte) {
	s, ok := e.decodePacket(b)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.Packet(time.Now(), &s, b)
}

func (e *Entry) handlePeerMessage(from netip.AddrPort, b []byte) {
	m, err := DecodeMessage(b, e.keys)
	if err != nil {
		e.counters.countDropped(dropReason(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Kind == KindOpenFlows {
		if e.checkpointer != nil {
			e.checkpointer.receive(time.Now(), flow.EndpointOf(from), m.Flows)
		}
		return
	}
	e.router.Message(time.Now(), flow.EndpointOf(from), &m)
}

func dropReason(err error) string {
	if errors.Is(err, ErrBadMAC) {
		return dropBadMAC
	}
	return dropMalformed
}

func (e *Entry) tick(now time.Time) {
	e.checkPause(nil)
	verifiedAt := e.fleet.VerifiedAt()
	current := e.fleet.Config() // read after verifiedAt, so at least as new as the configuration it refers to
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.router.view.Fleet == current {
		e.router.SetVerifiedAt(verifiedAt)
	}
	e.router.SetJoined(e.fleet.Joined() || now.Sub(e.started) >= joinPeriod)
	e.router.SetDraining(e.stop.Stopping())
	e.router.Tick(now)
	if !e.ready.Load() {
		e.checkReady(now, verifiedAt)
	}
}

// checkReady marks the entry as ready once it has routes and agents, from the
// store or, if that does not answer within readyTimeout, from peers.
func (e *Entry) checkReady(now, verifiedAt time.Time) {
	v := e.router.view
	if v.Fleet.Routes == nil || len(v.Agents) == 0 || verifiedAt.IsZero() && now.Sub(e.started) < readyTimeout {
		return
	}
	e.ready.Store(true)
	e.deps.Log.Info("ready", "version", v.Fleet.RoutesVersion, "verified", !verifiedAt.IsZero(), "after_ms", now.Sub(e.started).Milliseconds())
}

// watchFleet updates the router's view after each change of the fleet.
func (e *Entry) watchFleet(ctx context.Context) error {
	changes := e.fleet.Watch()
	refresh := time.NewTicker(viewIntervalMax) // departed agents expire
	defer refresh.Stop()
	b := newViewBuilder(&e.settings.Passthrough)
	incarnations := map[netip.AddrPort]uint64{}
	var withoutAgents map[string][]string
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-refresh.C:
		}
		members := e.fleet.Members()
		v := b.build(time.Now(), e.fleet.Config(), members, e.fleet.Departed())
		e.mu.Lock()
		e.router.SetView(time.Now(), v)
		for i := range members {
			m := &members[i]
			if before, known := incarnations[m.Addr]; known && before != m.Incarnation && m.Role == membership.RoleEntry {
				e.router.Reregister(flow.EndpointOf(m.Addr))
			}
			incarnations[m.Addr] = m.Incarnation
		}
		e.mu.Unlock()
		before := withoutAgents
		withoutAgents = servicesWithoutAgents(v)
		e.withoutAgents.Store(int64(len(withoutAgents)))
		reportServicesWithoutAgents(e.deps.Log, before, withoutAgents, v.Fleet.RoutesVersion)
		lifecycle.Sleep(ctx, viewIntervalMin)
	}
}

// Forward implements Outbox.
func (e *Entry) Forward(agent flow.Endpoint, meta flow.Metadata, packet []byte) {
	e.deps.Codec.SetMetadata(packet, meta)
	e.send(e.data, packet, agent.AddrPort())
}

// Query implements Outbox.
func (e *Entry) Query(agent flow.Endpoint, meta flow.Metadata, packet []byte) {
	e.scratch = e.deps.Codec.AppendQuery(e.scratch[:0], packet, meta)
	e.send(e.data, e.scratch, agent.AddrPort())
}

// Reset implements Outbox.
func (e *Entry) Reset(k flow.Key, seq uint32) { e.sendReset(e.callers, k, seq) }
