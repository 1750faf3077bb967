// Command crocus-agent runs beside one upstream: it ends the callers' flows
// and forwards their requests.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/agent"
	"crocusnotch/internal/config"
	"crocusnotch/internal/fleet"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/telemetry"
	"crocusnotch/internal/wire"
)

var version = "devel"

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	settings := "crocus-agent.json"
	check := false
	p := flaggy.NewParser("crocus-agent")
	p.Description = "ends callers' flows beside one upstream and forwards their requests"
	p.Version = version
	p.String(&settings, "s", "settings", "JSON file with the agent's settings")
	p.Bool(&check, "", "check", "check the settings and exit")
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalid)
	}
	os.Exit(run(settings, check))
}

// run returns the exit code.
func run(path string, check bool) int {
	var s config.Agent
	if err := config.ReadFile(path, &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	material, callers, err := loadTLS(&s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if check {
		return 0
	}
	log := telemetry.NewLogger(os.Stderr, "agent", s.Data.String())
	if err := serve(&s, log, material, callers); err != nil {
		log.Error("stopped", "error", err.Error())
		return exitFailed
	}
	return 0
}

func loadTLS(s *config.Agent) (*wire.MutualTLS, *tls.Certificate, error) {
	material, err := wire.LoadMutualTLS(s.TLS)
	if err != nil {
		return nil, nil, errors.Wrap(err, "tls")
	}
	callers, err := tls.LoadX509KeyPair(s.Callers.Cert, s.Callers.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "callers")
	}
	return material, &callers, nil
}

func serve(s *config.Agent, log *slog.Logger, material *wire.MutualTLS, callers *tls.Certificate) error {
	registry := telemetry.NewRegistry()
	metrics, err := net.Listen("tcp", s.Metrics.String())
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	defer func() { _ = metrics.Close() }()
	node, err := newNode(s, log, registry, material)
	if err != nil {
		return err
	}
	a, err := agent.New(*s, agent.Deps{
		Log: log, Registry: registry, TLS: material, Callers: callers, Fleet: node,
		Incarnation: node.Self().Incarnation,
	})
	if err != nil {
		return err
	}
	stopOnSignal(a)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return telemetry.Serve(ctx, metrics, registry, a.Health) })
	g.Go(func() error {
		defer cancel()
		return a.Run(ctx)
	})
	return g.Wait()
}

func newNode(s *config.Agent, log *slog.Logger, r *prometheus.Registry, material *wire.MutualTLS) (*fleet.Node, error) {
	return fleet.New(fleet.Options{
		Self: membership.Record{
			Addr: s.Data, Control: s.Control, Relay: s.Relay,
			Role: membership.RoleAgent, State: membership.StateDraining,
		},
		Zone:     s.Zone,
		Seeds:    s.Seeds,
		Store:    platform.New(s.Store, platform.Options{Registry: r}),
		TLS:      material,
		Log:      log,
		Registry: r,
	})
}

// stopOnSignal drains at the first signal. Further ones change nothing: a
// drain cuts no flow.
func stopOnSignal(a *agent.Agent) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range signals {
			a.Stop()
		}
	}()
}
