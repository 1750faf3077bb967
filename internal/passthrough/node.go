package passthrough

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/fleet"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const (
	// watchTimeout bounds a watch request to the store: a change that the watch
	// misses is found when it ends.
	watchTimeout = 1200 * time.Millisecond
	// configStaleAfter is the time since the configuration was last verified after
	// which an entry reads the store itself: including the read, a change is applied
	// within the limit of 3 s.
	configStaleAfter = 1800 * time.Millisecond
	// readBackoffMax bounds the pause after failed reads of the store, before jitter of
	// half of it: a change that was made during an outage must be applied within
	// seconds of its end, also by an entry that peers do not reach.
	readBackoffMax = 800 * time.Millisecond
	// firstReadDelay is the shortest time from the start to the first read of the
	// store; until then peers are queried.
	firstReadDelay = 40 * time.Millisecond
	// firstReadInterval is the interval of reads while no configuration is known: nothing
	// is served until one succeeds, which takes milliseconds once the store is back.
	firstReadInterval = 300 * time.Millisecond
	// firstReadTimeout bounds these reads. A store that is slowed down a hundredfold takes
	// half a second for each of two kinds.
	firstReadTimeout = 1200 * time.Millisecond
	// joinTimeout bounds the request for one snapshot: a seed may be unreachable.
	joinTimeout = 400 * time.Millisecond
	// joinBackoffMin and joinBackoffMax bound the pause between two attempts to
	// find peers.
	joinBackoffMin = 150 * time.Millisecond
	joinBackoffMax = 300 * time.Millisecond
	// rosterReadInterval is the shortest time between two reads of the rosters in the
	// store, whose calls are billed.
	rosterReadInterval = 2 * time.Second
)

// Fleet is the part of a fleet node that entries and agents use.
type Fleet interface {
	Run(ctx context.Context) error
	Config() *config.Fleet
	VerifiedAt() time.Time
	Members() []membership.Record
	Departed() []membership.Record
	Watch() <-chan struct{}
	Update(change func(*membership.Record))
	SetServiceName(service string)
	Joined() bool
	Resume()
	AwaitingEntry() bool
	Restarted() bool
	Events() *explain.Ring
	SetStatus(fill func(*wire.Status))
	SetWhere(answer func(wire.WhereParams) (wire.WhereResult, error))
	Leave(ctx context.Context)
}

// Deps are the dependencies of an entry or an agent.
type Deps struct {
	Log      *slog.Logger
	Registry *prometheus.Registry
	Codec    Codec
	Store    fleet.Store
	// Checkpoints keeps the checkpoints of flows; nil means that there are none.
	Checkpoints CheckpointStore
	// Pause detects pauses of the process; nil means with the clock of the system.
	Pause *lifecycle.PauseDetector
	// Fleet is the fleet node; nil means a new one made from the settings.
	Fleet Fleet
	// Listen opens the UDP sockets; nil means sockets of the operating system.
	Listen func(netip.AddrPort) (PacketConn, error)
	// ConnectUpstream opens and closes a TCP connection to an upstream; nil means by the
	// operating system.
	ConnectUpstream func(context.Context, netip.AddrPort) error
	// Membership replaces the sockets and calls in the fleet node's options; nil
	// means those of the operating system.
	Membership func(*fleet.Options)
}

// newFleetNode returns the given fleet node, or a new one made from the settings.
func newFleetNode(s *config.Passthrough, self membership.Record, d *Deps) (Fleet, error) {
	if d.Fleet != nil {
		return d.Fleet, nil
	}
	keys, err := s.Ring()
	if err != nil {
		return nil, errors.Wrap(err, "secret")
	}
	self.Addr, self.Control, self.Zone = s.Data, s.Control, s.ZoneID(s.Zone)
	o := fleet.Options{
		Self:     self,
		Zone:     s.Zone,
		Seeds:    s.SeedControlAddrs(),
		Store:    d.Store,
		Log:      d.Log,
		Registry: d.Registry,
		Keys:     keys,
		StoreReads: fleet.StoreReads{
			Kinds:        []string{config.KindRoutes, config.KindZoneOut},
			Watchers:     1,
			WatchTimeout: watchTimeout,
			FirstDelay:   firstReadDelay,
			BackoffMax:   readBackoffMax,
			MaxAge:       configStaleAfter,

			FirstInterval: firstReadInterval,
			FirstTimeout:  firstReadTimeout,
		},
		Join: fleet.JoinOptions{
			SnapshotTimeout: joinTimeout, BackoffMin: joinBackoffMin, BackoffMax: joinBackoffMax, RosterInterval: rosterReadInterval,
		},
	}
	if d.Membership != nil {
		d.Membership(&o)
	}
	return fleet.New(o)
}
