// Package launch builds the entry and agent programs for the passthrough transport. It
// connects an entry or an agent to the platform's store, packet format and readiness
// check.
package launch

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

// OpenFunc opens the sockets of a process and returns the process and the services to
// run alongside it.
type OpenFunc func(d passthrough.Deps) (daemon.Process, []daemon.Service, error)

// Passthrough completes a program whose settings contain shared. The program also
// serves the platform's readiness check for the process that open returns.
func Passthrough(p daemon.Program, shared *config.Passthrough, open OpenFunc) *daemon.Program {
	p.Transport = config.TransportPassthrough
	p.Addresses = func() (data, metrics netip.AddrPort) { return shared.Data, shared.Metrics }
	p.Load = func() error { return nil }
	p.New = func(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
		ready, err := Listen(shared.Ready, "readiness checks")
		if err != nil {
			return nil, err
		}
		store := platform.NewClient(shared.Store, r)
		process, services, err := open(passthrough.Deps{
			Log: log, Registry: r, Codec: platform.Codec{}, Store: store, Checkpoints: store,
		})
		if err != nil {
			return nil, err
		}
		readiness := func(ctx context.Context) error { return platform.ServeReadiness(ctx, ready, process.Health) }
		return daemon.WithServices(process, append(services, readiness)...), nil
	}
	return &p
}

// Listen opens a TCP listener. Errors include its purpose.
func Listen(a netip.AddrPort, purpose string) (net.Listener, error) {
	l, err := net.Listen("tcp4", a.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", purpose)
	}
	return l, nil
}
