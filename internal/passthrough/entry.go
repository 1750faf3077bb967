package passthrough

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
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
	// entryDrain is the time from the announcement of a stop until the entry
	// exits: two missed readiness checks, half a second apart, and their delay.
	entryDrain = 2 * time.Second
	// readyWait is how long a fresh entry waits for a verified configuration
	// before it works with what peers know.
	readyWait = 1500 * time.Millisecond
	// viewPeriod is the shortest time between two views.
	viewPeriod = 20 * time.Millisecond
	// viewRefresh is the longest.
	viewRefresh = time.Second
)

// Entry carries packets of callers to agents.
type Entry struct {
	shell
	settings config.PassthroughEntry
	callers  PacketConn
	started  time.Time
	router   *Router // guarded by mu
	ready    atomic.Bool
}

// NewEntry opens the sockets of an entry.
func NewEntry(s config.PassthroughEntry, d Deps) (*Entry, error) {
	e := &Entry{settings: s, started: time.Now()}
	err := e.setUp(&s.Passthrough, d)
	if err != nil {
		return nil, err
	}
	e.router = NewRouter(s.Zone, s.FlowMax(), e, e.counters.observer(d.Log, e.events))
	e.gauge("flows", "Flows that are known, also as a home.", func() float64 { return float64(e.router.Flows()) })
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
	if e.fleet, err = newNode(&s.Passthrough, self, &d); err != nil {
		return nil, errors.Join(err, e.callers.Close(), e.data.Close())
	}
	e.fleet.SetStatus(e.fillStatus)
	return e, nil
}

// fillStatus tells what the entry believes.
func (e *Entry) fillStatus(s *wire.Status) {
	fresh := e.fleet.VerifiedAt()
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.router.view
	agents := 0
	for _, list := range v.Agents {
		agents += len(list)
	}
	s.Observations = append(
		s.Observations,
		wire.Observation{Subject: "routes", Value: fmt.Sprintf("version %d, %d routes", v.Fleet.RoutesVersion, len(v.Fleet.Routes)), AgeMillis: ageMillis(fresh)},
		wire.Observation{Subject: "agents that take flows", Value: strconv.Itoa(agents), AgeMillis: ageMillis(e.router.changed)},
		wire.Observation{Subject: "flows", Value: strconv.Itoa(e.router.Flows())},
	)
	for zone := range v.Fleet.ZonesOut {
		s.Observations = append(s.Observations, wire.Observation{Subject: "zone out", Value: zone, AgeMillis: ageMillis(fresh)})
	}
}

// ageMillis returns the time since at, -1 when at is not set.
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

// Run carries packets until ctx ends or a graceful stop is done.
func (e *Entry) Run(ctx context.Context) error {
	f := frame{
		loops:   []func(context.Context) error{e.fleet.Run, e.follow},
		sockets: []PacketConn{e.callers, e.data},
		readers: []func() error{
			func() error { return receive(e.callers, e.readFailed, e.fromCaller) },
			func() error { return receive(e.data, e.readFailed, e.fromPeer) },
		},
		tick:  e.tick,
		drain: e.drain,
	}
	return f.run(ctx)
}

func (e *Entry) drain(ctx context.Context) {
	if !e.stop.Wait(ctx) {
		return
	}
	period := min(entryDrain, e.settings.Grace()/2)
	e.deps.Log.Info("draining", "seconds", period.Seconds())
	e.fleet.Update(func(r *membership.Record) { r.State = membership.StateDraining })
	lifecycle.Sleep(ctx, period)
	e.fleet.Leave(ctx)
}

func (e *Entry) configurationAge() float64 { return time.Since(e.fleet.VerifiedAt()).Seconds() }

func (e *Entry) fromCaller(_ netip.AddrPort, b []byte) {
	s, ok := e.packet(b)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.Packet(time.Now(), &s, b)
}

func (e *Entry) fromPeer(from netip.AddrPort, b []byte) {
	m, err := DecodeMessage(b, e.keys)
	if err != nil {
		e.counters.drop(dropReason(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.Message(time.Now(), flow.EndOf(from), &m)
}

func dropReason(err error) string {
	if errors.Is(err, ErrBadMAC) {
		return dropBadMAC
	}
	return dropMalformed
}

func (e *Entry) tick(now time.Time) {
	fresh := e.fleet.VerifiedAt()
	current := e.fleet.Config() // at least as new as what fresh is about
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.router.view.Fleet == current {
		e.router.SetFresh(fresh)
	}
	e.router.Tick(now)
	if !e.ready.Load() {
		e.checkReady(now, fresh)
	}
}

// checkReady reports the entry as ready once it knows routes and agents, from
// the store or, when it does not answer, from peers.
func (e *Entry) checkReady(now, fresh time.Time) {
	v := e.router.view
	if v.Fleet.Routes == nil || len(v.Agents) == 0 || fresh.IsZero() && now.Sub(e.started) < readyWait {
		return
	}
	e.ready.Store(true)
	e.deps.Log.Info("ready", "version", v.Fleet.RoutesVersion, "verified", !fresh.IsZero(), "after_ms", now.Sub(e.started).Milliseconds())
}

// follow puts a new view in force after each change.
func (e *Entry) follow(ctx context.Context) error {
	changes := e.fleet.Watch()
	refresh := time.NewTicker(viewRefresh) // agents are forgotten with time
	defer refresh.Stop()
	b := newViewBuilder(&e.settings.Passthrough)
	incarnations := map[netip.AddrPort]uint64{}
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
				e.router.Forget(flow.EndOf(m.Addr))
			}
			incarnations[m.Addr] = m.Incarnation
		}
		e.mu.Unlock()
		lifecycle.Sleep(ctx, viewPeriod)
	}
}

// Carry implements Outbox.
func (e *Entry) Carry(agent flow.End, n flow.Note, packet []byte) {
	e.deps.Codec.SetNote(packet, n)
	e.send(e.data, packet, agent.AddrPort())
}

// Ask implements Outbox.
func (e *Entry) Ask(agent flow.End, n flow.Note, packet []byte) {
	e.scratch = e.deps.Codec.AppendQuery(e.scratch[:0], packet, n)
	e.send(e.data, e.scratch, agent.AddrPort())
}

// Reset implements Outbox.
func (e *Entry) Reset(k flow.Key, seq uint32) { e.reset(e.callers, k, seq) }
