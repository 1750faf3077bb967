// Command crocus-agent runs beside one upstream: it ends the callers' flows
// and forwards their requests.
package main

import (
	"crypto/tls"
	"log/slog"
	"os"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/agent"
	"crocusnotch/internal/config"
	"crocusnotch/internal/daemon"
	"crocusnotch/internal/wire"
)

var version = "devel"

func main() {
	var a agentProgram
	p := daemon.Program{
		Name:        "crocus-agent",
		Description: "ends callers' flows beside one upstream and forwards their requests",
		Version:     version,
		Role:        "agent",
		Settings:    &a.settings,
		Shared:      &a.settings.Process,
		Load:        a.load,
		New:         a.start,
	}
	os.Exit(p.Main())
}

// agentProgram holds what the agent is made of.
type agentProgram struct {
	settings config.Agent
	material *wire.MutualTLS
	callers  tls.Certificate
}

func (a *agentProgram) load() error {
	var err error
	a.material, err = wire.LoadMutualTLS(a.settings.TLS)
	if err != nil {
		return errors.Wrap(err, "tls")
	}
	a.callers, err = tls.LoadX509KeyPair(a.settings.Callers.Cert, a.settings.Callers.Key)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	return nil
}

func (a *agentProgram) start(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
	return agent.New(a.settings, agent.Deps{Log: log, Registry: r, TLS: a.material, Callers: &a.callers})
}
