package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/request"
	"crocusnotch/internal/routing"
)

const (
	tickInterval       = 100 * time.Millisecond
	pathExpireInterval = 10 * time.Second
	leaveTimeout       = 2 * time.Second
	announceTimeout    = time.Second
	// minStateDuration is how long the agent's membership record stays ready or
	// cold before it may change to the other.
	minStateDuration = time.Second
)

// errStopping is returned for an announcement after the loop has ended.
var errStopping = errors.New("agent: stopping")

// announceRequest passes an announcement to the loop.
type announceRequest struct {
	announcement Announcement
	result       chan error
}

// loop owns the agent's state: the upstream's announcement, whether the agent is
// draining, and the agent's membership record. Other goroutines read the
// published copies.
type loop struct {
	agent            *Agent
	announceRequests chan announceRequest
	ended            chan struct{}

	// Published for other goroutines.
	service     atomic.Pointer[config.Service]
	flowRefusal atomic.Pointer[request.Reason] // why new flows are refused
	connections atomic.Int64
	draining    atomic.Bool

	listenerMu sync.Mutex
	listener   *flowListener
	closed     bool

	// Owned by the loop's goroutine.
	upstream      Announcement // zero without a valid lease
	leaseUntil    time.Time
	pinnedService string // name of the service, set by the first announcement
	stopping      bool
	zoneOut       bool
	cfg           *config.Fleet
	members       []membership.Record
	peers         []membership.Record
	entries       []netip.AddrPort // live ones, sorted
	// departedEntries holds the entries that left the membership, and when.
	departedEntries map[netip.AddrPort]time.Time
	state           membership.State
	published       membership.Record
	stateSince      time.Time
	pathsExpiredAt  time.Time
	loadPacer       *loadPacer
}

func newLoop(a *Agent) *loop {
	l := &loop{
		agent:            a,
		announceRequests: make(chan announceRequest),
		ended:            make(chan struct{}),
		cfg:              config.Empty(),
		loadPacer:        newLoadPacer(rand.New(rand.NewPCG(a.incarnation, 1))),
	}
	reason := request.ReasonNoConfig
	l.flowRefusal.Store(&reason)
	return l
}

// announce passes an announcement to the loop and returns the result.
func (l *loop) announce(a Announcement) error {
	req := announceRequest{announcement: a, result: make(chan error, 1)}
	select {
	case l.announceRequests <- req:
		return <-req.result
	case <-l.ended:
		return errStopping
	}
}

func (l *loop) run(ctx context.Context) error {
	defer close(l.ended)
	changed := l.agent.deps.Fleet.Watch()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	loadTicker := time.NewTicker(loadInterval)
	defer loadTicker.Stop()
	failed := make(chan error, 1)
	stop := l.agent.stop.Requested()
	l.refresh(ctx, failed)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-changed:
			l.refresh(ctx, failed)
		case req := <-l.announceRequests:
			req.result <- l.applyAnnouncement(req.announcement)
		case <-stop:
			stop = nil
			l.stopping = true
			l.recordUpstreamEvent("running to draining", "stop requested")
			l.agent.driver.drain()
			l.publish()
		case <-ticker.C:
			l.tick()
		case <-l.agent.flows.emptied:
		case <-loadTicker.C:
			l.sendLoads()
		}
		if l.stopping && l.done() {
			l.leave(ctx)
			return nil
		}
	}
}

// done reports whether the last flow and request have ended.
func (l *loop) done() bool {
	return l.agent.flows.len() == 0 && l.agent.driver.status().counts.Requests == 0
}

func (l *loop) leave(ctx context.Context) {
	l.recordUpstreamEvent("draining to left", "the last flow has ended")
	c, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	l.agent.deps.Fleet.Leave(c)
}

// refresh applies the current configuration and membership.
func (l *loop) refresh(ctx context.Context, failed chan<- error) {
	l.cfg = l.agent.deps.Fleet.Config()
	l.members = l.agent.deps.Fleet.Members()
	l.updateService()
	l.updateZone()
	l.updatePeers()
	l.updateEntries()
	l.publish()
	if err := l.listen(ctx, failed); err != nil {
		failed <- err
	}
}

// listen starts to accept flows once the keys are known.
func (l *loop) listen(ctx context.Context, failed chan<- error) error {
	l.listenerMu.Lock()
	defer l.listenerMu.Unlock()
	if l.listener != nil || l.closed || l.cfg.Keys == nil {
		return nil
	}
	a := l.agent
	listener, err := newFlowListener(listenerOptions{
		socket:  a.socket,
		cert:    a.deps.CallerCert,
		ring:    l.cfg.Keys,
		token:   l.token,
		refuse:  l.refuseFlow,
		flows:   a.flows,
		handler: a.handler.callerHandler(),
		metrics: a.metrics,
	})
	if err != nil {
		return err
	}
	l.listener = listener
	listener.setDraining(l.draining.Load())
	go func() {
		if err := listener.run(ctx); err != nil && ctx.Err() == nil {
			failed <- err
		}
	}()
	return nil
}

func (l *loop) closeListener() {
	l.listenerMu.Lock()
	defer l.listenerMu.Unlock()
	l.closed = true
	if l.listener != nil {
		l.listener.close()
	}
}

// token returns the content of a new owner token and the keys to sign it.
func (l *loop) token() (routing.Token, *keyring.Ring) {
	v := l.agent.socket.view.Load()
	return routing.Token{
		Agent:       l.agent.settings.Data,
		Service:     v.service,
		Zone:        v.zone,
		Incarnation: uint16(l.agent.incarnation),
	}, v.ring
}

// refuseFlow returns why a new flow is refused, ReasonNone if it is accepted.
func (l *loop) refuseFlow() request.Reason {
	if r := *l.flowRefusal.Load(); r != request.ReasonNone {
		return r
	}
	if int64(l.agent.flows.len()) >= l.connections.Load() {
		return request.ReasonConnectionLimit
	}
	return request.ReasonNone
}

// tick expires the upstream's lease and the return paths, and publishes the state.
func (l *loop) tick() {
	now := time.Now()
	l.agent.deps.Pause.Beat(func(gap time.Duration) {
		// The clock may have stood still during the pause.
		l.leaseUntil = l.leaseUntil.Add(-gap)
		l.agent.deps.Log.Warn("resumed after a pause", "paused_ms", gap.Milliseconds())
		l.expireLease(now)
	})
	l.expireLease(now)
	if now.Sub(l.pathsExpiredAt) >= pathExpireInterval {
		l.pathsExpiredAt = now
		l.agent.socket.paths.expire(now)
	}
	l.publish()
}

// expireLease removes the upstream if its lease has expired.
func (l *loop) expireLease(now time.Time) {
	if !l.hasUpstream() || !now.After(l.leaseUntil) {
		return
	}
	what := fmt.Sprintf("upstream %s %s to absent", l.upstream.Address, l.upstream.stateName())
	l.recordUpstreamEvent(what, "its lease expired")
	l.upstream = Announcement{}
	l.announceToEngine()
}

// recordUpstreamEvent records a change of state under the service's name.
func (l *loop) recordUpstreamEvent(what, why string) {
	l.recordEvent(explain.SubjectUpstream, l.pinnedService, what, why)
}

func (l *loop) recordZoneEvent(what, why string) {
	l.recordEvent(explain.SubjectZone, l.agent.settings.Zone, what, why)
}

func (l *loop) recordEvent(subject explain.Subject, name, what, why string) {
	l.agent.deps.Fleet.Events().Add(time.Now(), subject, name, what, why)
	l.agent.deps.Log.Info("state", string(subject), name, "what", what, "why", why)
}
