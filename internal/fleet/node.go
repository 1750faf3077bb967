// Package fleet runs the membership, the configuration and the control service
// of one process.
package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/wire"
)

const (
	eventRingSize   = 2048
	inboxSize       = 1024
	commandsSize    = 64
	socketBufferLen = 2048
	publishPeriod   = 100 * time.Millisecond
)

// Store is what a node needs of the platform's store.
type Store interface {
	List(ctx context.Context, kinds ...string) (platform.Snapshot, error)
	Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...string) (platform.Snapshot, error)
	Create(ctx context.Context, id config.ID, value []byte) (config.Object, error)
	Update(ctx context.Context, id config.ID, expected uint64, value []byte) (config.Object, error)
}

// CallFunc makes one jsonrpc2 request to a control address.
type CallFunc func(ctx context.Context, to netip.AddrPort, method string, params, result any) error

// Options configure a Node.
type Options struct {
	Self     membership.Record // Incarnation 0 stands for the present time
	Zone     string
	Seeds    []netip.AddrPort // control addresses of entries
	Store    Store            // nil for a process without a store
	TLS      *wire.MutualTLS
	Log      *slog.Logger
	Registry *prometheus.Registry
	Conn     net.PacketConn    // optional, default: a UDP socket on Self.Control
	Listener net.Listener      // optional, default: a TCP listener on Self.Control
	Call     CallFunc          // optional, default: wire.Call over TLS
	Rand     *rand.Rand        // optional
	Timing   membership.Timing // optional
	Keys     *keyring.Ring     // optional: fixed keys in place of those of the store
	Reading  Reading           // optional
	Joining  Joining           // optional
}

// Reading says how entries follow the store.
type Reading struct {
	Kinds    []string      // kinds of the configuration
	Watchers int           // entries of a region that watch the store
	Wait     time.Duration // bound of a waiting watch
	First    time.Duration // at least, from the start to the first read
	// Stale is the age of the configuration above which an entry that does not
	// watch reads the store itself; 0 leaves it to the watchers.
	Stale time.Duration
}

// Joining bounds the search for peers.
type Joining struct {
	Timeout    time.Duration // of one snapshot
	BackoffMin time.Duration // between two searches
	BackoffMax time.Duration
	// RosterPause is the shortest time between two reads of the rosters.
	RosterPause time.Duration
}

// Node is the part of the fleet that runs in one process. Its methods are safe
// for concurrent use.
type Node struct {
	opts     Options
	conn     net.PacketConn
	listener net.Listener
	metrics  *metrics
	events   *explain.Ring

	// Owned by the search for peers.
	rostersRead time.Time
	rostered    []netip.AddrPort // in the rosters when they were read

	// Owned by the loop.
	core         *membership.Core
	builder      *config.Builder
	membersDirty bool
	objectsDirty bool
	published    time.Time
	fetching     map[config.ID]bool

	inbox    chan *membership.Message
	commands chan func(now time.Time)
	stopped  chan struct{}
	leave    sync.Once
	ended    sync.Once

	config   atomic.Pointer[config.Fleet]
	problems atomic.Pointer[[]config.Problem]
	members  atomic.Pointer[[]membership.Record]
	departed atomic.Pointer[[]membership.Record]
	self     atomic.Pointer[membership.Record]
	follow   atomic.Pointer[string]
	lonely   atomic.Bool
	store    atomic.Bool  // the last call to the store was answered
	fresh    atomic.Int64 // nanoseconds after started at which the objects were the store's latest, 0: not known
	started  time.Time
	status   atomic.Pointer[func(*wire.Status)]
	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64

	mu       sync.Mutex
	watchers []chan struct{}
}

// New opens the sockets of a node. Run makes it work.
func New(o Options) (*Node, error) {
	o = withDefaults(o)
	n := &Node{
		opts:     o,
		started:  time.Now(),
		conn:     o.Conn,
		listener: o.Listener,
		metrics:  newMetrics(o.Registry),
		events:   explain.NewRing(o.Self.Addr.String(), eventRingSize),
		inbox:    make(chan *membership.Message, inboxSize),
		commands: make(chan func(time.Time), commandsSize),
		stopped:  make(chan struct{}),
	}
	n.core = membership.New(membership.Options{Self: o.Self, Rand: childRand(o.Rand), Timing: o.Timing, Seeds: o.coreSeeds(nil)})
	n.builder = config.NewBuilder()
	n.fetching = map[config.ID]bool{}
	n.config.Store(n.withKeys(config.Empty()))
	n.problems.Store(&[]config.Problem{})
	n.members.Store(&[]membership.Record{})
	n.departed.Store(&[]membership.Record{})
	self := n.core.Self()
	n.self.Store(&self)
	if err := n.open(); err != nil {
		return nil, err
	}
	n.metrics.export(o.Registry, n)
	return n, nil
}

// coreSeeds returns the seeds and rostered entries that membership itself may ask:
// with keys of the store a process can't read an answer before it has joined.
func (o *Options) coreSeeds(rostered []netip.AddrPort) []netip.AddrPort {
	if o.Keys == nil {
		return nil
	}
	return slices.Concat(o.Seeds, rostered)
}

func withDefaults(o Options) Options {
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.Self.State == 0 {
		o.Self.State = membership.StateReady
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Timing == (membership.Timing{}) {
		o.Timing = membership.DefaultTiming()
	}
	o.Reading = o.Reading.withDefaults()
	o.Joining = o.Joining.withDefaults()
	if o.Call == nil {
		material := o.TLS
		o.Call = func(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
			return wire.Call(ctx, to, material, method, params, result)
		}
	}
	return o
}

func (r Reading) withDefaults() Reading {
	if len(r.Kinds) == 0 {
		r.Kinds = configKinds
	}
	r.Watchers = cmp.Or(r.Watchers, watchersPerRegion)
	r.Wait = cmp.Or(r.Wait, watchWait)
	r.First = cmp.Or(r.First, watchFirst)
	return r
}

func (j Joining) withDefaults() Joining {
	j.Timeout = cmp.Or(j.Timeout, snapshotTimeout)
	j.BackoffMin = cmp.Or(j.BackoffMin, joinBackoffMin)
	j.BackoffMax = cmp.Or(j.BackoffMax, joinBackoffMax)
	return j
}

func childRand(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

func (n *Node) open() error {
	if n.conn == nil {
		conn, err := net.ListenPacket("udp4", n.opts.Self.Control.String())
		if err != nil {
			return errors.Wrap(err, "listen for membership")
		}
		n.conn = conn
	}
	if n.listener == nil {
		l, err := net.Listen("tcp4", n.opts.Self.Control.String())
		if err != nil {
			_ = n.conn.Close()
			return errors.Wrap(err, "listen for control")
		}
		n.listener = l
	}
	return nil
}

// Run works until ctx ends or Leave was called. It closes the sockets.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, n.close)
	defer stop()
	g.Go(func() error {
		defer cancel()
		return n.loop(ctx)
	})
	g.Go(func() error { return n.read(ctx) })
	g.Go(func() error { return n.serve(ctx) })
	join := childRand(n.opts.Rand)
	g.Go(func() error { return n.joinLoop(ctx, join) })
	if n.opts.Self.Role == membership.RoleEntry && n.opts.Store != nil {
		watch, roster := childRand(n.opts.Rand), childRand(n.opts.Rand)
		g.Go(func() error { return n.watchLoop(ctx, watch) })
		g.Go(func() error { return n.rosterLoop(ctx, roster) })
	}
	err := g.Wait()
	n.close()
	return err
}

func (n *Node) close() {
	_ = n.conn.Close()
	_ = n.listener.Close()
}

// Config returns the configuration in force; it is never nil.
func (n *Node) Config() *config.Fleet { return n.config.Load() }

// ConfigProblems returns the objects that were refused.
func (n *Node) ConfigProblems() []config.Problem { return *n.problems.Load() }

// Fresh returns the last time at which the configuration in force was known to
// be the store's latest; zero when that was never known.
func (n *Node) Fresh() time.Time {
	at := n.fresh.Load()
	if at == 0 {
		return time.Time{}
	}
	return n.started.Add(time.Duration(at))
}

// Members returns the records that are not final, the own one excepted. The
// slice must not be changed.
func (n *Node) Members() []membership.Record { return *n.members.Load() }

// Departed returns the final records that changed a short time ago. The slice
// must not be changed.
func (n *Node) Departed() []membership.Record { return *n.departed.Load() }

// Self returns the process's own record as announced last.
func (n *Node) Self() membership.Record { return *n.self.Load() }

// Events returns the changes of state of this process.
func (n *Node) Events() *explain.Ring { return n.events }

// SetStatus sets a function that completes the answer to each status query.
func (n *Node) SetStatus(fill func(*wire.Status)) { n.status.Store(&fill) }

// Watch returns a channel that receives a signal after each change of the
// configuration or the members. Signals that are not taken are merged.
func (n *Node) Watch() <-chan struct{} {
	c := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watchers = append(n.watchers, c)
	return c
}

func (n *Node) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Update changes the process's own record, raises its version and announces
// it. The change is made by another goroutine after the call.
func (n *Node) Update(change func(*membership.Record)) {
	n.command(func(now time.Time) { n.core.Update(now, change) })
}

// Follow names the agent's service, so that its configuration is received
// before the record carries the service's ID.
func (n *Node) Follow(service string) {
	n.follow.Store(&service)
	n.command(func(time.Time) { n.core.SetServiceName(service) })
}

// Leave announces StateLeft and stops Run. It returns when the announcement
// was sent or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.leave.Do(func() {
		n.command(func(now time.Time) {
			n.core.Leave(now)
			n.act(now)
			n.end()
		})
	})
	select {
	case <-n.stopped:
	case <-ctx.Done():
	}
}

// end lets commands and Leave return once the loop takes no more events.
func (n *Node) end() { n.ended.Do(func() { close(n.stopped) }) }

func (n *Node) command(f func(now time.Time)) {
	select {
	case n.commands <- f:
	case <-n.stopped:
	}
}
