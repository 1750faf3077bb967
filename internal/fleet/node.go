// Package fleet runs the membership protocol, the distribution of the
// configuration and the control service of one process.
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
	eventRingSize    = 2048
	inboxSize        = 1024
	commandQueueSize = 64
	readBufferBytes  = 2048
	maxPublishPeriod = 100 * time.Millisecond
)

// Store is the part of the platform's store that a node uses.
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
	Self       membership.Record // Incarnation 0 means the current time
	Zone       string
	Seeds      []netip.AddrPort // control addresses of entries
	Store      Store            // nil for a process without a store
	TLS        *wire.MutualTLS
	Log        *slog.Logger
	Registry   *prometheus.Registry
	Conn       net.PacketConn    // optional, default: a UDP socket on Self.Control
	Listener   net.Listener      // optional, default: a TCP listener on Self.Control
	Call       CallFunc          // optional, default: wire.Call over TLS
	Rand       *rand.Rand        // optional
	Timing     membership.Timing // optional
	Keys       *keyring.Ring     // optional: fixed keys instead of those in the store
	StoreReads StoreReads        // optional
	Join       JoinOptions       // optional
}

// StoreReads configures how entries read the configuration from the store.
type StoreReads struct {
	Kinds        []string      // object kinds of the configuration
	Watchers     int           // number of entries per region that watch the store
	WatchTimeout time.Duration // longest time that one watch waits for a change
	FirstDelay   time.Duration // shortest time from the start to the first read
	BackoffMax   time.Duration // longest pause after failed reads, before jitter
	// MaxAge is the time since the configuration was last verified after which an
	// entry that does not watch the store reads it; with 0 only the watchers read it.
	MaxAge time.Duration
	// FirstInterval is the mean interval at which a process without a configuration reads
	// it, and FirstTimeout the timeout of each of these reads. With 0 it reads like others.
	FirstInterval, FirstTimeout time.Duration
}

// JoinOptions configures the search for peers.
type JoinOptions struct {
	SnapshotTimeout time.Duration // of each page of a snapshot
	BackoffMin      time.Duration // between two searches
	BackoffMax      time.Duration
	// RosterInterval is the shortest time between two reads of the rosters.
	RosterInterval time.Duration
}

// Node takes part in the fleet for one process. Its methods are safe for
// concurrent use.
type Node struct {
	opts     Options
	conn     net.PacketConn
	listener net.Listener
	metrics  *metrics
	events   *explain.Ring

	// Used only by joinLoop.
	rostersReadAt time.Time
	rosterEntries []netip.AddrPort // control addresses in the rosters when last read

	// Used only by the loop.
	core         *membership.Core
	builder      *config.Builder
	membersDirty bool
	objectsDirty bool
	publishedAt  time.Time
	fetching     map[config.ID]bool

	inbox     chan *membership.Message
	commands  chan func(now time.Time)
	stopped   chan struct{}
	leaveOnce sync.Once
	stopOnce  sync.Once

	config         atomic.Pointer[config.Fleet]
	problems       atomic.Pointer[[]config.Problem]
	unreadable     unreadableObjects
	members        atomic.Pointer[[]membership.Record]
	departed       atomic.Pointer[[]membership.Record]
	self           atomic.Pointer[membership.Record]
	serviceName    atomic.Pointer[string]
	isolated       atomic.Bool
	joined         atomic.Bool   // see Joined
	storeReachable atomic.Bool   // the last call to the store succeeded
	verifiedNanos  atomic.Int64  // VerifiedAt as nanoseconds after started, 0: zero time
	listAgainAt    atomic.Int64  // when the store's list must be repeated, as nanoseconds after started, or 0
	restored       chan struct{} // signals that the store was restored from a copy
	resuming       atomic.Bool   // Resume was called and the loop has not handled it yet
	awaitingEntry  atomic.Bool   // see membership.Core.AwaitingEntry
	restarted      atomic.Bool   // see membership.Core.Restarted
	started        time.Time
	fillStatus     atomic.Pointer[func(*wire.Status)]
	where          atomic.Pointer[func(wire.WhereParams) (wire.WhereResult, error)]
	bytesIn        atomic.Uint64
	bytesOut       atomic.Uint64

	mu          sync.Mutex
	subscribers []chan struct{}
}

// New returns a node with open sockets. Call Run to start it.
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
		commands: make(chan func(time.Time), commandQueueSize),
		stopped:  make(chan struct{}),
		restored: make(chan struct{}, 1),
	}
	n.core = membership.New(membership.Options{Self: o.Self, Rand: childRand(o.Rand), Timing: o.Timing, Seeds: o.coreSeeds(nil)})
	n.builder = config.NewBuilder()
	n.fetching = map[config.ID]bool{}
	n.config.Store(n.withFixedKeys(config.Empty()))
	n.problems.Store(&[]config.Problem{})
	n.members.Store(&[]membership.Record{})
	n.departed.Store(&[]membership.Record{})
	self := n.core.Self()
	n.self.Store(&self)
	if err := n.openSockets(); err != nil {
		return nil, err
	}
	n.metrics.export(o.Registry, n)
	return n, nil
}

// coreSeeds returns the seeds and the entries in the rosters that the core may ping.
// There are none when the keys come from the store: a process can't verify a reply
// before it has joined.
func (o *Options) coreSeeds(rosterEntries []netip.AddrPort) []netip.AddrPort {
	if o.Keys == nil {
		return nil
	}
	return slices.Concat(o.Seeds, rosterEntries)
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
	o.StoreReads = o.StoreReads.withDefaults()
	o.Join = o.Join.withDefaults()
	if o.Call == nil {
		mutualTLS := o.TLS
		o.Call = func(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
			return wire.Call(ctx, to, mutualTLS, method, params, result)
		}
	}
	return o
}

func (r StoreReads) withDefaults() StoreReads {
	if len(r.Kinds) == 0 {
		r.Kinds = configKinds
	}
	r.Watchers = cmp.Or(r.Watchers, watchersPerRegion)
	r.WatchTimeout = cmp.Or(r.WatchTimeout, defaultWatchTimeout)
	r.FirstDelay = cmp.Or(r.FirstDelay, defaultFirstReadDelay)
	r.BackoffMax = cmp.Or(r.BackoffMax, defaultReadBackoffMax)
	return r
}

func (j JoinOptions) withDefaults() JoinOptions {
	j.SnapshotTimeout = cmp.Or(j.SnapshotTimeout, snapshotTimeout)
	j.BackoffMin = cmp.Or(j.BackoffMin, joinBackoffMin)
	j.BackoffMax = cmp.Or(j.BackoffMax, joinBackoffMax)
	return j
}

func childRand(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

func (n *Node) openSockets() error {
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

// Run runs the node until ctx ends or Leave is called, then closes the sockets.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, n.closeSockets)
	defer stop()
	g.Go(func() error {
		defer cancel()
		return n.loop(ctx)
	})
	g.Go(func() error { return n.readMessages(ctx) })
	g.Go(func() error { return n.serveControl(ctx) })
	join := childRand(n.opts.Rand)
	g.Go(func() error { return n.joinLoop(ctx, join) })
	if n.opts.Self.Role == membership.RoleEntry && n.opts.Store != nil {
		watch, roster := childRand(n.opts.Rand), childRand(n.opts.Rand)
		g.Go(func() error { return n.storeReadLoop(ctx, watch) })
		g.Go(func() error { return n.rosterLoop(ctx, roster) })
	}
	err := g.Wait()
	n.closeSockets()
	return err
}

func (n *Node) closeSockets() {
	_ = n.conn.Close()
	_ = n.listener.Close()
}

// Config returns the configuration in force; it is never nil.
func (n *Node) Config() *config.Fleet { return n.config.Load() }

// ConfigProblems returns the objects that were refused.
func (n *Node) ConfigProblems() []config.Problem { return *n.problems.Load() }

// VerifiedAt returns the last time at which the configuration in force was verified
// as the store's latest; zero when there is none, as after a pause.
func (n *Node) VerifiedAt() time.Time {
	at := n.verifiedNanos.Load()
	if at == 0 || n.resuming.Load() {
		return time.Time{}
	}
	return n.started.Add(time.Duration(at))
}

// Members returns the records of the other members that have neither left nor been
// declared dead. The slice must not be changed.
func (n *Node) Members() []membership.Record { return *n.members.Load() }

// Departed returns the records of members that left or were declared dead within
// departedRetention. The slice must not be changed.
func (n *Node) Departed() []membership.Record { return *n.departed.Load() }

// Self returns the process's own record as last announced.
func (n *Node) Self() membership.Record { return *n.self.Load() }

// Events returns the recent state changes that this process recorded.
func (n *Node) Events() *explain.Ring { return n.events }

// SetStatus sets a function that adds the caller's part to each status reply.
func (n *Node) SetStatus(fill func(*wire.Status)) { n.fillStatus.Store(&fill) }

// SetWhere sets the function that answers wire.MethodWhere. Without one the method is
// unknown.
func (n *Node) SetWhere(answer func(wire.WhereParams) (wire.WhereResult, error)) {
	n.where.Store(&answer)
}

// Watch returns a channel that receives a signal after each change of the
// configuration or the members. Signals that have not been received are merged into
// one.
func (n *Node) Watch() <-chan struct{} {
	c := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(n.subscribers, c)
	return c
}

func (n *Node) notifySubscribers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Update changes the process's own record, increments its version and announces
// it. The loop applies the change, possibly after Update has returned.
func (n *Node) Update(change func(*membership.Record)) {
	n.enqueue(func(now time.Time) { n.core.Update(now, change) })
}

// SetServiceName sets the name of the agent's service, so that the agent receives the
// service's configuration before its record contains the service's ID.
func (n *Node) SetServiceName(service string) {
	n.serviceName.Store(&service)
	n.enqueue(func(time.Time) { n.core.SetServiceName(service) })
}

// Resume handles the end of a pause in which this process did not run.
func (n *Node) Resume() {
	n.resuming.Store(true)
	n.enqueue(func(now time.Time) {
		n.core.Resume(now)
		n.awaitingEntry.Store(n.core.AwaitingEntry(now))
		n.publishVerifiedAt()
		n.resuming.Store(false)
	})
}

// Restarted reports whether an entry knew a former process of this agent that ran until
// shortly before.
func (n *Node) Restarted() bool { return n.restarted.Load() }

// AwaitingEntry reports whether this agent was paused and no entry has confirmed since
// that it knows the changes that it missed.
func (n *Node) AwaitingEntry() bool { return n.resuming.Load() || n.awaitingEntry.Load() }

// Leave announces StateLeft and stops Run. It returns when the announcement was
// sent or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.leaveOnce.Do(func() {
		n.enqueue(func(now time.Time) {
			n.core.Leave(now)
			n.applyOutput(now)
			n.closeStopped()
		})
	})
	select {
	case <-n.stopped:
	case <-ctx.Done():
	}
}

// closeStopped releases enqueue and Leave once the loop processes no more commands.
func (n *Node) closeStopped() { n.stopOnce.Do(func() { close(n.stopped) }) }

// enqueue passes a function to the loop, which runs it. After the node has stopped
// it does nothing.
func (n *Node) enqueue(f func(now time.Time)) {
	select {
	case n.commands <- f:
	case <-n.stopped:
	}
}
