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

// http3Program returns the program for HTTP/3 flows.
func http3Program() *daemon.Program {
	a := &http3Agent{}
	p := program()
	p.Settings = &a.settings
	p.Addresses = func() (data, metrics netip.AddrPort) { return a.settings.Data, a.settings.Metrics }
	p.Load = a.load
	p.New = a.newProcess
	return &p
}

// http3Agent holds the settings and TLS files that agent.New needs.
type http3Agent struct {
	settings   config.Agent
	mutualTLS  *wire.MutualTLS
	callerCert tls.Certificate
}

func (a *http3Agent) load() error {
	var err error
	a.mutualTLS, err = wire.LoadMutualTLS(a.settings.TLS)
	if err != nil {
		return errors.Wrap(err, "tls")
	}
	a.callerCert, err = tls.LoadX509KeyPair(a.settings.Callers.Cert, a.settings.Callers.Key)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	return nil
}

func (a *http3Agent) newProcess(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
	return agent.New(a.settings, agent.Deps{Log: log, Registry: r, TLS: a.mutualTLS, CallerCert: &a.callerCert})
}
