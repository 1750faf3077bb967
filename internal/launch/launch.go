// Package launch makes the programs of passed-through flows: it puts the users'
// platform around an entry or an agent.
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

// OpenFunc opens the sockets of a process and names what is served beside it.
type OpenFunc func(d passthrough.Deps) (daemon.Process, []daemon.Service, error)

// Passthrough completes a program whose settings hold shared. The platform's
// readiness check is served beside the process that open returns.
func Passthrough(p daemon.Program, shared *config.Passthrough, open OpenFunc) *daemon.Program {
	p.Transport = config.TransportPassthrough
	p.Addresses = func() (data, metrics netip.AddrPort) { return shared.Data, shared.Metrics }
	p.Load = func() error { return nil }
	p.New = func(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
		ready, err := Listen(shared.Ready, "readiness checks")
		if err != nil {
			return nil, err
		}
		process, services, err := open(passthrough.Deps{
			Log: log, Registry: r, Codec: platform.Codec{}, Store: platform.NewClient(shared.Store, r),
		})
		if err != nil {
			return nil, err
		}
		readiness := func(ctx context.Context) error { return platform.ServeReadiness(ctx, ready, process.Health) }
		return daemon.WithServices(process, append(services, readiness)...), nil
	}
	return &p
}

// Listen opens a TCP socket; the error tells what it is for.
func Listen(a netip.AddrPort, purpose string) (net.Listener, error) {
	l, err := net.Listen("tcp4", a.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", purpose)
	}
	return l, nil
}
