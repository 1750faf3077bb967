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
	loadLag           = 2 * time.Second
	healthInterval    = 200 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	readyTimeout      = 20 * time.Second
	pollInterval      = 50 * time.Millisecond
)

// Testbed is the fleet of one run and what surrounds it.
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
	refused  refusals

	mu         sync.Mutex // guards the lists below
	entries    []*entryInstance
	agents     []*agentInstance    // all ever started
	upstreams  []*upstreamInstance // all ever started
	entryHosts int
	agentHosts int
}

func newWorld(s *Scenario, o Options) (*Testbed, error) {
	certs, err := devcerts.New(time.Now())
	if err != nil {
		return nil, err
	}
	w := &Testbed{
		scenario: s, layout: layout{base: o.Net}, scale: o.Scale, log: o.Log, certs: certs,
		store: store.New(store.Options{}), runs: upstream.NewRuns(), callers: caller.NewCounters(),
		entryHosts: firstHost, agentHosts: firstHost,
	}
	w.storeURL = "http://" + w.layout.store().String()
	w.operator = platform.New(w.storeURL, platform.Options{})
	var addresses []netip.AddrPort
	for i := range s.Services {
		addresses = append(addresses, w.layout.service(i))
	}
	if w.fabric, err = fabric.New(w.layout.fabricReturn(), addresses); err != nil {
		return nil, err
	}
	w.fabric.SetConditions(fabric.Conditions{
		Loss: s.Network.Loss, Reorder: s.Network.Reorder,
		Delay: time.Duration(s.Network.DelayMicros) * time.Microsecond,
	})
	return w, nil
}

func (l layout) upstream(host int) netip.AddrPort {
	return netip.AddrPortFrom(l.host(agentOctet, host), upstreamPort)
}

func upstreamName(s *Service, index, host int) string {
	return fmt.Sprintf("%s-%d@%d", s.Name, index, host)
}

func (w *Testbed) nextHost(counter *int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	*counter++
	return *counter - 1
}

// seeds are the control addresses of the live entries.
func (w *Testbed) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range w.liveEntries() {
		out = append(out, e.settings.Control)
	}
	return out
}

func (w *Testbed) liveEntries() []*entryInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*entryInstance
	for _, e := range w.entries {
		if e.alive() {
			out = append(out, e)
		}
	}
	return out
}

// processes returns the live entries and agents.
func (w *Testbed) processes() []*process {
	var out []*process
	for _, e := range w.liveEntries() {
		out = append(out, &e.process)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.agents {
		if a.alive() {
			out = append(out, &a.process)
		}
	}
	return out
}

// current returns the present upstream of an endpoint.
func (w *Testbed) current(service string, index int) *upstreamInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last *upstreamInstance
	for _, u := range w.upstreams {
		if u.service.Name == service && u.index == index {
			last = u
		}
	}
	return last
}

// serve runs the platform's stand-ins until ctx ends.
func (w *Testbed) serve(ctx context.Context, g *errgroup.Group) error {
	l, err := net.Listen("tcp4", w.layout.store().String())
	if err != nil {
		return errors.Wrap(err, "store")
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "store")
		}
		return nil
	})
	g.Go(func() error { return w.fabric.Run(ctx, w.scenario.Seed) })
	g.Go(func() error { w.checkHealth(ctx); return nil })
	return nil
}

// checkHealth keeps the healthy entries behind the fabric, as the platform's
// own health checks do.
func (w *Testbed) checkHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		w.checkEntries()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Testbed) checkEntries() {
	w.mu.Lock()
	entries := append([]*entryInstance(nil), w.entries...)
	w.mu.Unlock()
	behind := map[netip.AddrPort]bool{}
	for _, e := range w.fabric.Entries() {
		behind[e.Addr] = true
	}
	for _, e := range entries {
		healthy, _ := e.entry.Health()
		healthy = healthy && e.alive()
		if healthy && !behind[e.addr.Fabric] {
			w.fabric.Add(fabric.Entry{Addr: e.addr.Fabric, Zone: e.zone})
		}
		if !healthy && behind[e.addr.Fabric] {
			w.fabric.Remove(e.addr.Fabric)
		}
	}
}

// configure puts the first key and the configuration into the store.
func (w *Testbed) configure(ctx context.Context) error {
	if _, err := ctl.AddKey(ctx, w.operator); err != nil {
		return errors.Wrap(err, "first key")
	}
	changes, err := ctl.Plan(w.layout.file(w.scenario), nil, false)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	return w.execute(ctx, changes)
}

func (w *Testbed) execute(ctx context.Context, changes []ctl.Change) error {
	for _, c := range changes {
		if _, err := ctl.Execute(ctx, w.operator, c); err != nil {
			return errors.Wrapf(err, "%s %s %s", c.Action, c.ID.Kind, c.ID.Name)
		}
	}
	return nil
}

// start brings up the fleet and waits until every agent takes flows.
func (w *Testbed) start(ctx context.Context) error {
	if err := w.configure(ctx); err != nil {
		return err
	}
	for i := range w.scenario.Entries {
		if _, err := w.startEntry(w.scenario.Zones[i%len(w.scenario.Zones)]); err != nil {
			return err
		}
	}
	for i := range w.scenario.Services {
		service := &w.scenario.Services[i]
		for index := range service.Speeds {
			if _, err := w.startUpstream(service, index, false); err != nil {
				return err
			}
		}
	}
	return w.waitReady(ctx)
}

func (w *Testbed) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		waiting := w.notReady()
		if waiting == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("not ready: %s", waiting)
		case <-time.After(pollInterval):
		}
	}
}

func (w *Testbed) notReady() string {
	for _, e := range w.liveEntries() {
		if ok, reason := e.entry.Health(); !ok {
			return "entry " + e.settings.Data.String() + ": " + reason
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.agents {
		if ok, reason := a.agent.Health(); !ok {
			return "agent " + a.settings.Data.String() + ": " + reason
		}
	}
	return ""
}

// stop ends everything at once.
func (w *Testbed) stop() {
	w.mu.Lock()
	entries, agents, upstreams := w.entries, w.agents, w.upstreams
	w.mu.Unlock()
	for _, u := range upstreams {
		u.silence()
		u.stopUp()
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
		<-u.upDone
	}
}
