package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/agent"
	"crocusnotch/internal/config"
	"crocusnotch/internal/entry"
	"crocusnotch/internal/standin/upstream"
)

// process is a running entry or agent.
type process struct {
	zone     string
	settings config.Process
	registry *prometheus.Registry
	started  time.Time
	kill     context.CancelFunc
	done     chan struct{}
	err      error // valid once done is closed
}

// spawn runs a process until it ends by itself or is killed.
func spawn(p *process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.started, p.kill = time.Now(), cancel
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		defer cancel()
		err := run(ctx)
		if ctx.Err() == nil {
			p.err = err
		}
	}()
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

type entryInstance struct {
	process
	entry *entry.Entry
	addr  config.Entry
}

func (w *World) startEntry(zone string) (*entryInstance, error) {
	s := w.layout.entry(w.nextHost(&w.entryHosts), zone, w.storeURL)
	s.Seeds = w.seeds()
	e := &entryInstance{addr: s}
	e.zone, e.settings, e.registry = zone, s.Process, prometheus.NewRegistry()
	var err error
	e.entry, err = entry.New(s, entry.Deps{
		Log: w.log.With("role", "entry", "process", s.Data.String()), Registry: e.registry, TLS: w.certs.MutualTLS(),
	})
	if err != nil {
		return nil, err
	}
	spawn(&e.process, e.entry.Run)
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	return e, nil
}

type agentInstance struct {
	process
	agent *agent.Agent
	addr  config.Agent
}

func (w *World) startAgent(s config.Agent) (*agentInstance, error) {
	a := &agentInstance{addr: s}
	a.zone, a.settings, a.registry = s.Zone, s.Process, prometheus.NewRegistry()
	log := w.log.With("role", "agent", "process", s.Data.String())
	var err error
	a.agent, err = agent.New(s, agent.Deps{
		Log: log, Registry: a.registry, TLS: w.certs.MutualTLS(), CallerCert: &w.certs.Callers,
	})
	if err != nil {
		return nil, err
	}
	spawn(&a.process, a.agent.Run)
	w.mu.Lock()
	w.agents = append(w.agents, a)
	w.mu.Unlock()
	return a, nil
}

// upstreamInstance is an upstream and the agent beside it.
type upstreamInstance struct {
	name    string
	service *Service
	zone    string
	index   int
	up      *upstream.Upstream
	stopUp  context.CancelFunc
	upDone  chan struct{}
	agent   *agentInstance
	silence context.CancelFunc // ends the announcements to the agent
	leaving atomic.Bool
	started time.Time
}

// startUpstream starts a cold or warm upstream and its agent on a new address.
func (w *World) startUpstream(service *Service, index int, cold bool) (*upstreamInstance, error) {
	host := w.nextHost(&w.agentHosts)
	zone := w.scenario.Zones[index%len(w.scenario.Zones)]
	s := w.layout.agent(host, zone, w.storeURL)
	u := &upstreamInstance{service: service, zone: zone, index: index, started: time.Now()}
	u.name = upstreamName(service, index, host)
	up, err := upstream.New(upstream.Options{
		Name: u.name, Service: service.Name, Address: w.layout.upstream(host),
		Slots: service.Slots, Connections: service.Connections,
		Speed: service.Speeds[index], Work: millis(service.WorkMillis),
		Cold:      upstream.ColdStart{InitialShare: service.ColdShare, WarmUp: millis(float64(service.WarmUpMillis))},
		StartCold: cold, LoadLag: loadLag, ReportZeroLoad: index%2 == 1,
		Seed: w.scenario.Seed + uint64(host), Runs: w.runs,
	})
	if err != nil {
		return nil, err
	}
	u.up = up
	ctx, cancel := context.WithCancel(context.Background())
	u.stopUp, u.upDone = cancel, make(chan struct{})
	go func() {
		defer close(u.upDone)
		if err := up.Run(ctx); err != nil {
			w.log.Error("upstream failed", "name", u.name, "error", err)
		}
	}()
	if u.agent, err = w.startAgent(s); err != nil {
		cancel()
		return nil, err
	}
	w.announce(u)
	w.mu.Lock()
	w.upstreams = append(w.upstreams, u)
	w.mu.Unlock()
	return u, nil
}

// announce makes the upstream tell its present agent of itself.
func (w *World) announce(u *upstreamInstance) {
	ctx, cancel := context.WithCancel(context.Background())
	u.silence = cancel
	go u.up.Announce(ctx, u.agent.addr.Announce)
}
