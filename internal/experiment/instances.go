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

// spawn runs a process in the background until it exits or is killed.
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
	entry  *entry.Entry
	config config.Entry
}

func (tb *Testbed) startEntry(zone string) (*entryInstance, error) {
	s := tb.layout.entry(tb.nextHost(&tb.entryHosts), zone, tb.storeURL)
	s.Seeds = tb.seeds()
	e := &entryInstance{config: s}
	e.zone, e.settings, e.registry = zone, s.Process, prometheus.NewRegistry()
	var err error
	e.entry, err = entry.New(s, entry.Deps{
		Log: tb.log.With("role", "entry", "process", s.Data.String()), Registry: e.registry, TLS: tb.certs.MutualTLS(),
	})
	if err != nil {
		return nil, err
	}
	spawn(&e.process, e.entry.Run)
	tb.mu.Lock()
	tb.entries = append(tb.entries, e)
	tb.mu.Unlock()
	return e, nil
}

type agentInstance struct {
	process
	agent  *agent.Agent
	config config.Agent
}

func (tb *Testbed) startAgent(s config.Agent) (*agentInstance, error) {
	a := &agentInstance{config: s}
	a.zone, a.settings, a.registry = s.Zone, s.Process, prometheus.NewRegistry()
	log := tb.log.With("role", "agent", "process", s.Data.String())
	var err error
	a.agent, err = agent.New(s, agent.Deps{
		Log: log, Registry: a.registry, TLS: tb.certs.MutualTLS(), CallerCert: &tb.certs.Callers,
	})
	if err != nil {
		return nil, err
	}
	spawn(&a.process, a.agent.Run)
	tb.mu.Lock()
	tb.agents = append(tb.agents, a)
	tb.mu.Unlock()
	return a, nil
}

// upstreamInstance is an upstream and its agent.
type upstreamInstance struct {
	name              string
	service           *Service
	zone              string
	index             int
	server            *upstream.Upstream
	stopServer        context.CancelFunc
	serverDone        chan struct{}
	agent             *agentInstance
	stopAnnouncements context.CancelFunc // stops the announcements to the current agent
	draining          atomic.Bool
	started           time.Time
}

// startUpstream starts a cold or warm upstream and its agent on a new address.
func (tb *Testbed) startUpstream(service *Service, index int, cold bool) (*upstreamInstance, error) {
	host := tb.nextHost(&tb.agentHosts)
	zone := tb.scenario.Zones[index%len(tb.scenario.Zones)]
	s := tb.layout.agent(host, zone, tb.storeURL)
	u := &upstreamInstance{service: service, zone: zone, index: index, started: time.Now()}
	u.name = upstreamName(service, index, host)
	server, err := upstream.New(upstream.Options{
		Name: u.name, Service: service.Name, Address: tb.layout.upstream(host),
		Slots: service.Slots, Connections: service.Connections,
		Speed: service.Speeds[index], Work: millis(service.WorkMillis),
		Cold:      upstream.ColdStart{InitialShare: service.ColdShare, WarmUp: millis(float64(service.WarmUpMillis))},
		StartCold: cold, LoadLag: loadReportLag, ReportZeroLoad: index%2 == 1,
		Seed: tb.scenario.Seed + uint64(host), Runs: tb.runs,
	})
	if err != nil {
		return nil, err
	}
	u.server = server
	ctx, cancel := context.WithCancel(context.Background())
	u.stopServer, u.serverDone = cancel, make(chan struct{})
	go func() {
		defer close(u.serverDone)
		if err := server.Run(ctx); err != nil {
			tb.log.Error("upstream failed", "name", u.name, "error", err)
		}
	}()
	if u.agent, err = tb.startAgent(s); err != nil {
		cancel()
		return nil, err
	}
	tb.startAnnouncements(u)
	tb.mu.Lock()
	tb.upstreams = append(tb.upstreams, u)
	tb.mu.Unlock()
	return u, nil
}

// startAnnouncements makes the upstream announce itself to its current agent.
func (tb *Testbed) startAnnouncements(u *upstreamInstance) {
	ctx, cancel := context.WithCancel(context.Background())
	u.stopAnnouncements = cancel
	go u.server.Announce(ctx, u.agent.config.Announce)
}
