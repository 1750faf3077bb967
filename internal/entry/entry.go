// Package entry implements crocus-entry: it receives packets from the fabric,
// forwards them to the agents selected by package routing, and relays the
// agents' answers to the fabric. It keeps no state per flow.
package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/config"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

const (
	// readersPerSocket is the number of goroutines that receive from one
	// socket.
	readersPerSocket = 2
	// drainPeriod is the time between announcing the drain and leaving, during
	// which the fabric and the agents switch to other entries.
	drainPeriod = 2 * time.Second
	// leavePeriod is the time after leaving during which late packets are still
	// relayed.
	leavePeriod = 500 * time.Millisecond
)

// Deps are the dependencies of an entry.
type Deps struct {
	Log      *slog.Logger
	Registry *prometheus.Registry
	TLS      *wire.MutualTLS
	// Callers is not used by entries.
	Callers *tls.Certificate
	// Fleet is the fleet node; nil means one created from the settings.
	Fleet Fleet
	// Listen opens the sockets; nil means UDP sockets of the operating system.
	Listen func(netip.AddrPort) (PacketConn, error)
}

// Entry is one entry instance.
type Entry struct {
	settings config.Entry
	log      *slog.Logger
	fleet    Fleet
	fabric   socket
	data     socket
	counters *counters
	table    atomic.Pointer[routing.Table]
	stop     *lifecycle.Stopper
}

func (d *Deps) listen(a netip.AddrPort) (socket, error) {
	if d.Listen == nil {
		return listenUDP(a)
	}
	c, err := d.Listen(a)
	return unbatchedSocket{c}, err
}

// New creates an entry and opens its sockets.
func New(s config.Entry, d Deps) (*Entry, error) {
	if s.Fabric.Addr().Unmap().Is4() != s.FabricReturn.Addr().Unmap().Is4() {
		return nil, errors.New("fabric and fabricReturn must both be IPv4 or both IPv6")
	}
	fabric, err := d.listen(s.Fabric)
	if err != nil {
		return nil, errors.Wrap(err, "fabric socket")
	}
	data, err := d.listen(s.Data)
	if err != nil {
		fabric.close()
		return nil, errors.Wrap(err, "data socket")
	}
	node := d.Fleet
	if node == nil {
		node, err = newNode(&s, &d)
	}
	if err != nil {
		fabric.close()
		data.close()
		return nil, errors.Wrap(err, "fleet node")
	}
	e := &Entry{
		settings: s,
		log:      d.Log,
		fleet:    node,
		fabric:   fabric,
		data:     data,
		counters: newCounters(d.Registry),
		stop:     lifecycle.NewStopper(),
	}
	e.table.Store(routing.NewTable(config.Empty(), s.Zone, nil))
	e.fleet.SetStatus(e.counters.addToStatus)
	return e, nil
}

// Stop starts a graceful stop: the entry announces that it is draining, relays
// for drainPeriod, leaves the fleet and relays for leavePeriod. Run then returns.
func (e *Entry) Stop() {
	e.stop.Stop()
}

// Run relays packets until ctx ends or a graceful stop is complete. When ctx
// ends, it stops at once and returns the cause; after a graceful stop it returns
// nil.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.fleet.Run(ctx) })
	g.Go(func() error { return e.updateTable(ctx) })
	for range readersPerSocket {
		g.Go(newForwarder(e).run)
		g.Go(newRelay(e).run)
	}
	stopped := false
	g.Go(func() error {
		stopped = e.awaitStop(ctx)
		cancel()
		e.fabric.interrupt()
		e.data.interrupt()
		return nil
	})
	err := g.Wait()
	e.fabric.close()
	e.data.close()
	if stopped {
		return nil
	}
	if err == nil {
		err = context.Cause(ctx)
	}
	return err
}

// awaitStop waits until ctx ends or a graceful stop is complete, and reports
// whether the graceful stop completed.
func (e *Entry) awaitStop(ctx context.Context) bool {
	if !e.stop.Wait(ctx) {
		return false
	}
	e.log.Info("draining", "seconds", drainPeriod.Seconds())
	e.fleet.Update(func(r *membership.Record) { r.State = membership.StateDraining })
	if !lifecycle.Sleep(ctx, drainPeriod) {
		return false
	}
	e.fleet.Leave(ctx)
	return lifecycle.Sleep(ctx, leavePeriod)
}

// Health reports whether the entry can forward new flows.
func (e *Entry) Health() (ok bool, reason string) {
	if e.stop.Stopping() {
		return false, "draining"
	}
	table := e.table.Load()
	if table.Keys() == nil {
		return false, "no keys known yet"
	}
	if z := table.Config().ByZone[e.settings.Zone]; z != nil && z.Out {
		return false, "zone out"
	}
	return true, ""
}
