package main

import (
	"context"
	"log/slog"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/daemon"
	"crocusnotch/internal/passthrough"
	"crocusnotch/platform"
)

// passthroughProgram serves passed-through flows on the users' platform.
func passthroughProgram() *daemon.Program {
	var s config.PassthroughEntry
	return &daemon.Program{
		Name:        name,
		Description: description,
		Version:     version,
		Role:        role,
		Transport:   config.TransportPassthrough,
		Settings:    &s,
		Addresses:   func() (data, metrics netip.AddrPort) { return s.Data, s.Metrics },
		Load:        func() error { return nil },
		New: func(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
			ready, err := net.Listen("tcp4", s.Ready.String())
			if err != nil {
				return nil, errors.Wrap(err, "listen for readiness checks")
			}
			e, err := passthrough.NewEntry(s, passthrough.Deps{
				Log: log, Registry: r, Codec: platform.Codec{}, Store: platform.NewClient(s.Store, r),
			})
			if err != nil {
				return nil, err
			}
			return daemon.WithServices(e, func(ctx context.Context) error {
				return platform.Readiness(ctx, ready, e.Health)
			}), nil
		},
	}
}
