// Package agent runs next to one upstream: it terminates the callers' QUIC
// connections (flows), admits their requests to the upstream, relays requests to
// peer agents, and implements drain and cold start. Packages request and
// admission make the decisions; this package does the I/O around them.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/config"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/request"
	"crocusnotch/internal/wire"
)

// Deps are the dependencies of an agent.
type Deps struct {
	Log        *slog.Logger
	Registry   *prometheus.Registry
	TLS        *wire.MutualTLS
	CallerCert *tls.Certificate
	// Fleet is the view of the other processes. If it is nil, New creates a
	// fleet node from the settings and uses the node's incarnation.
	Fleet Fleet
	// Network opens sockets; nil means the host's network.
	Network Network
	// Incarnation identifies this start of the process; 0 means the current
	// time in Unix milliseconds.
	Incarnation uint64
	// Pause detects pauses of the process; nil means with the clock of the system.
	Pause *lifecycle.PauseDetector
}

// Agent is one running agent.
type Agent struct {
	settings       config.Agent
	deps           Deps
	incarnation    uint64
	metrics        *metrics
	socket         *socket
	flows          *flowSet
	driver         *driver
	upstream       *upstreamClient
	relays         *relayClient
	peerLoads      *peerLoads
	handler        *requestHandler
	relayServer    *relayServer
	announceServer *http.Server

	announceListener net.Listener
	relayListener    net.Listener

	stop           *lifecycle.Stopper
	loop           *loop
	cancelAttempts context.CancelFunc
}

// New creates an agent and opens its sockets. The error names the socket that
// failed to open.
func New(s config.Agent, d Deps) (*Agent, error) {
	if d.Network == nil {
		d.Network = &hostNetwork{}
	}
	if d.Fleet == nil {
		node, err := newNode(&s, &d)
		if err != nil {
			return nil, err
		}
		d.Fleet = node
		d.Incarnation = node.Self().Incarnation
	}
	if d.Incarnation == 0 {
		d.Incarnation = uint64(time.Now().UnixMilli())
	}
	if d.Pause == nil {
		d.Pause = lifecycle.NewPauseDetector()
	}
	a := &Agent{
		settings:    s,
		deps:        d,
		incarnation: d.Incarnation,
		metrics:     newMetrics(d.Registry),
		flows:       newFlowSet(),
		peerLoads:   newPeerLoads(),
		upstream:    newUpstreamClient(d.Network),
		stop:        lifecycle.NewStopper(),
	}
	a.relays = newRelayClient(d.Network, d.TLS, func(r request.LoadReport) { a.driver.updatePeerLoad(r) })
	if err := a.open(); err != nil {
		a.closeSockets()
		return nil, err
	}
	a.assemble()
	return a, nil
}

func (a *Agent) open() error {
	conn, err := a.deps.Network.ListenDatagrams(a.settings.Data)
	if err != nil {
		return errors.Wrap(err, "data")
	}
	a.socket = newSocket(conn, a.settings.Data, uint16(a.incarnation), &a.metrics.socket)
	if a.relayListener, err = a.deps.Network.Listen(a.settings.Relay); err != nil {
		return errors.Wrap(err, "relay")
	}
	if a.announceListener, err = a.deps.Network.Listen(a.settings.Announce); err != nil {
		return errors.Wrap(err, "announce")
	}
	return nil
}

func (a *Agent) closeSockets() {
	if a.socket != nil {
		_ = a.socket.Close()
	}
	for _, l := range []net.Listener{a.relayListener, a.announceListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// assemble creates the remaining components and connects them.
func (a *Agent) assemble() {
	self := request.AgentRef{Addr: a.settings.Relay, Incarnation: a.incarnation}
	a.driver = newDriver(request.Options{
		Self:   self,
		Start:  time.Now(),
		Random: rand.New(rand.NewPCG(a.incarnation, uint64(a.settings.Data.Port()))),
	}, a.metrics)
	base, cancel := context.WithCancel(context.Background())
	a.cancelAttempts = cancel
	a.loop = newLoop(a)
	a.handler = &requestHandler{
		driver:      a.driver,
		service:     a.loop.service.Load,
		upstream:    a.upstream,
		relays:      a.relays,
		metrics:     a.metrics,
		self:        self.String(),
		paused:      a.deps.Pause.Paused,
		baseContext: base,
	}
	a.relayServer = newRelayServer(a.driver, a.handler.peerHandler(), a.deps.TLS)
	h := &announceHandler{announce: a.loop.announce, progress: a.drainProgress}
	a.announceServer = &http.Server{Handler: h.routes(), ReadHeaderTimeout: handshakeTimeout}
	a.socket.ownLoad = a.ownFlowLoad
	a.socket.peerLoad = a.peerLoads.flowLoad
	a.socket.onLoadReport = a.receiveLoad
	a.deps.Fleet.SetStatus(a.fillStatus)
	a.registerGauges()
}

// Run serves until Stop was called and the last flow and request have ended. It
// stops abruptly when ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.deps.Fleet.Run(ctx) })
	g.Go(func() error { return a.relayServer.serve(a.relayListener) })
	g.Go(func() error { return a.serveAnnounce() })
	g.Go(func() error {
		defer cancel()
		return a.loop.run(ctx)
	})
	g.Go(func() error {
		<-ctx.Done()
		a.close()
		return nil
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (a *Agent) serveAnnounce() error {
	err := a.announceServer.Serve(a.announceListener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve announcements")
}

// Stop drains the agent: callers get GOAWAY and open new flows elsewhere, running
// requests finish, and Run returns when the last flow has ended.
func (a *Agent) Stop() { a.stop.Stop() }

// close stops everything immediately. After a drain no flow or request is left to
// interrupt; after an abrupt stop nothing more is sent, as if the process had
// crashed.
func (a *Agent) close() {
	a.closeSockets()
	a.cancelAttempts()
	a.loop.closeListener()
	_ = a.relayServer.server.Close()
	_ = a.announceServer.Close()
	a.driver.stop()
	a.upstream.close()
	a.relays.close()
}

func (a *Agent) ownFlowLoad() flowLoad {
	return flowLoad{flows: a.flows.len(), connections: int(a.loop.connections.Load())}
}

func (a *Agent) drainProgress() DrainProgress {
	p := DrainProgress{Flows: a.flows.len(), Running: a.driver.status().counts.Running}
	p.Drained = a.loop.draining.Load() && p.Flows == 0 && p.Running == 0
	return p
}

func (a *Agent) fillStatus(s *wire.Status) {
	d := a.driver.status()
	status := &wire.AgentStatus{
		Slots:       d.load.Slots,
		Limit:       d.load.Limit,
		Busy:        d.load.Busy,
		Queued:      d.load.Queued,
		Flows:       a.flows.len(),
		LongStreams: max(0, d.counts.Running-d.load.Busy),
		FlowsByKey:  a.flows.countByGeneration(),
	}
	if service := a.loop.service.Load(); service != nil {
		status.Service = service.Name
	}
	if up := a.upstream.address.Load(); up != nil {
		status.Upstream = up.String()
	}
	s.Agent = status
}

// Health reports whether the agent accepts new flows, and the reason if not.
func (a *Agent) Health() (ok bool, reason string) {
	r := *a.loop.flowRefusal.Load()
	return r == request.ReasonNone, string(r)
}
