package main

import (
	"crypto/tls"
	"log/slog"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/agent"
	"crocusnotch/internal/config"
	"crocusnotch/internal/daemon"
	"crocusnotch/internal/wire"
)

// http3Program serves HTTP/3 flows.
func http3Program() *daemon.Program {
	a := &http3Agent{}
	p := program()
	p.Settings = &a.settings
	p.Addresses = func() (data, metrics netip.AddrPort) { return a.settings.Data, a.settings.Metrics }
	p.Load = a.load
	p.New = a.start
	return &p
}

// http3Agent holds what the agent is made of.
type http3Agent struct {
	settings config.Agent
	material *wire.MutualTLS
	callers  tls.Certificate
}

func (a *http3Agent) load() error {
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

func (a *http3Agent) start(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
	return agent.New(a.settings, agent.Deps{Log: log, Registry: r, TLS: a.material, CallerCert: &a.callers})
}
