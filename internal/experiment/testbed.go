package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/ctl"
	"crocusnotch/internal/devcerts"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/standin/caller"
	"crocusnotch/internal/standin/fabric"
	"crocusnotch/internal/standin/store"
	"crocusnotch/internal/standin/upstream"
)

const (
	loadReportLag     = 2 * time.Second
	healthInterval    = 200 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	readyTimeout      = 20 * time.Second
	pollInterval      = 50 * time.Millisecond
)

// Testbed is the fleet of one run with its simulated platform, callers and upstreams.
type Testbed struct {
	scenario *Scenario
	layout   layout
	scale    float64
	log      *slog.Logger
	certs    *devcerts.Set
	store    *store.Store
	storeURL string
	operator *platform.Client
	fabric   *fabric.Fabric
	runs     *upstream.Runs
	callers  *caller.Counters
	pools    []*caller.Pool
	refusals refusals

	mu         sync.Mutex          // guards the lists below
	entries    []*entryInstance    // all ever started
	agents     []*agentInstance    // all ever started
	upstreams  []*upstreamInstance // all ever started
	entryHosts int
	agentHosts int
}

func newTestbed(s *Scenario, o Options) (*Testbed, error) {
	certs, err := devcerts.New(time.Now())
	if err != nil {
		return nil, err
	}
	tb := &Testbed{
		scenario: s, layout: layout{base: o.Net}, scale: o.Scale, log: o.Log, certs: certs,
		store: store.New(store.Options{}), runs: upstream.NewRuns(), callers: caller.NewCounters(),
		entryHosts: firstHost, agentHosts: firstHost,
	}
	tb.storeURL = "http://" + tb.layout.store().String()
	tb.operator = platform.New(tb.storeURL, platform.Options{})
	var addresses []netip.AddrPort
	for i := range s.Services {
		addresses = append(addresses, tb.layout.service(i))
	}
	if tb.fabric, err = fabric.New(tb.layout.fabricReturn(), addresses); err != nil {
		return nil, err
	}
	tb.fabric.SetConditions(fabric.Conditions{
		Loss: s.Network.Loss, Reorder: s.Network.Reorder,
		Delay: time.Duration(s.Network.DelayMicros) * time.Microsecond,
	})
	return tb, nil
}

func (l layout) upstream(host int) netip.AddrPort {
	return netip.AddrPortFrom(l.host(agentOctet, host), upstreamPort)
}

func upstreamName(s *Service, index, host int) string {
	return fmt.Sprintf("%s-%d@%d", s.Name, index, host)
}

func (tb *Testbed) nextHost(counter *int) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	*counter++
	return *counter - 1
}

// seeds returns the control addresses of the live entries.
func (tb *Testbed) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range tb.liveEntries() {
		out = append(out, e.settings.Control)
	}
	return out
}

func (tb *Testbed) liveEntries() []*entryInstance {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []*entryInstance
	for _, e := range tb.entries {
		if e.alive() {
			out = append(out, e)
		}
	}
	return out
}

// liveProcesses returns the live entries and agents.
func (tb *Testbed) liveProcesses() []*process {
	var out []*process
	for _, e := range tb.liveEntries() {
		out = append(out, &e.process)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, a := range tb.agents {
		if a.alive() {
			out = append(out, &a.process)
		}
	}
	return out
}

// currentUpstream returns the last started upstream of an endpoint.
func (tb *Testbed) currentUpstream(service string, index int) *upstreamInstance {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var last *upstreamInstance
	for _, u := range tb.upstreams {
		if u.service.Name == service && u.index == index {
			last = u
		}
	}
	return last
}

// runPlatform runs the simulated store, fabric and health checks until ctx ends.
func (tb *Testbed) runPlatform(ctx context.Context, g *errgroup.Group) error {
	l, err := net.Listen("tcp4", tb.layout.store().String())
	if err != nil {
		return errors.Wrap(err, "store")
	}
	server := &http.Server{Handler: tb.store, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "store")
		}
		return nil
	})
	g.Go(func() error { return tb.fabric.Run(ctx, tb.scenario.Seed) })
	g.Go(func() error { tb.runHealthChecks(ctx); return nil })
	return nil
}

// runHealthChecks registers healthy entries with the fabric and removes the
// others, as the platform's health checks do.
func (tb *Testbed) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		tb.updateFabricEntries()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (tb *Testbed) updateFabricEntries() {
	tb.mu.Lock()
	entries := append([]*entryInstance(nil), tb.entries...)
	tb.mu.Unlock()
	registered := map[netip.AddrPort]bool{}
	for _, e := range tb.fabric.Entries() {
		registered[e.Addr] = true
	}
	for _, e := range entries {
		healthy, _ := e.entry.Health()
		healthy = healthy && e.alive()
		if healthy && !registered[e.config.Fabric] {
			tb.fabric.Add(fabric.Entry{Addr: e.config.Fabric, Zone: e.zone})
		}
		if !healthy && registered[e.config.Fabric] {
			tb.fabric.Remove(e.config.Fabric)
		}
	}
}

// initConfiguration writes the first key and the configuration to the store.
func (tb *Testbed) initConfiguration(ctx context.Context) error {
	if _, err := ctl.AddKey(ctx, tb.operator); err != nil {
		return errors.Wrap(err, "first key")
	}
	changes, err := ctl.Plan(tb.layout.configuration(tb.scenario), nil, false)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	return tb.applyChanges(ctx, changes)
}

func (tb *Testbed) applyChanges(ctx context.Context, changes []ctl.Change) error {
	for _, c := range changes {
		if _, err := ctl.Execute(ctx, tb.operator, c); err != nil {
			return errors.Wrapf(err, "%s %s %s", c.Action, c.ID.Kind, c.ID.Name)
		}
	}
	return nil
}

// startFleet starts the fleet and waits until every agent accepts flows.
func (tb *Testbed) startFleet(ctx context.Context) error {
	if err := tb.initConfiguration(ctx); err != nil {
		return err
	}
	for i := range tb.scenario.Entries {
		if _, err := tb.startEntry(tb.scenario.Zones[i%len(tb.scenario.Zones)]); err != nil {
			return err
		}
	}
	for i := range tb.scenario.Services {
		service := &tb.scenario.Services[i]
		for index := range service.Speeds {
			if _, err := tb.startUpstream(service, index, false); err != nil {
				return err
			}
		}
	}
	return tb.waitReady(ctx)
}

func (tb *Testbed) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		reason := tb.unreadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("not ready: %s", reason)
		case <-time.After(pollInterval):
		}
	}
}

func (tb *Testbed) unreadyReason() string {
	for _, e := range tb.liveEntries() {
		if ok, reason := e.entry.Health(); !ok {
			return "entry " + e.settings.Data.String() + ": " + reason
		}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, a := range tb.agents {
		if ok, reason := a.agent.Health(); !ok {
			return "agent " + a.settings.Data.String() + ": " + reason
		}
	}
	return ""
}

// killAll stops all processes without draining and waits for them.
func (tb *Testbed) killAll() {
	tb.mu.Lock()
	entries, agents, upstreams := tb.entries, tb.agents, tb.upstreams
	tb.mu.Unlock()
	for _, u := range upstreams {
		u.stopAnnouncements()
		u.stopServer()
	}
	for _, a := range agents {
		a.kill()
		<-a.done
	}
	for _, e := range entries {
		e.kill()
		<-e.done
	}
	for _, u := range upstreams {
		<-u.serverDone
	}
}
