package main

import (
	"log/slog"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/daemon"
	"crocusnotch/internal/entry"
	"crocusnotch/internal/wire"
)

// http3Program returns the program for HTTP/3 flows.
func http3Program() *daemon.Program {
	var s config.Entry
	var mutualTLS *wire.MutualTLS
	p := program()
	p.Settings = &s
	p.Addresses = func() (data, metrics netip.AddrPort) { return s.Data, s.Metrics }
	p.Load = func() (err error) {
		mutualTLS, err = wire.LoadMutualTLS(s.TLS)
		return err
	}
	p.New = func(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
		return entry.New(s, entry.Deps{Log: log, Registry: r, TLS: mutualTLS})
	}
	return &p
}
