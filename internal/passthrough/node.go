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
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const (
	// readWait bounds a waiting watch: a change that the watch misses is found
	// when it ends.
	readWait = 1200 * time.Millisecond
	// staleAfter is the age of the configuration above which an entry reads the
	// store itself: with the read it stays below the 3 s that a change may take.
	staleAfter = 1800 * time.Millisecond
	// readFirst is the shortest time from the start to the first read of the
	// store; until then peers are asked.
	readFirst = 40 * time.Millisecond
	// joinTimeout bounds one snapshot: a seed may be a dark instance.
	joinTimeout = 400 * time.Millisecond
	// joinBackoffMin and joinBackoffMax bound the pause between two searches for
	// peers.
	joinBackoffMin = 150 * time.Millisecond
	joinBackoffMax = 300 * time.Millisecond
	// rosterPause is the shortest time between two reads of the rosters in the
	// store, whose calls are paid for.
	rosterPause = 2 * time.Second
)

// Fleet is what entries and agents need of their fleet node.
type Fleet interface {
	Run(ctx context.Context) error
	Config() *config.Fleet
	VerifiedAt() time.Time
	Members() []membership.Record
	Departed() []membership.Record
	Watch() <-chan struct{}
	Update(change func(*membership.Record))
	SetServiceName(service string)
	Events() *explain.Ring
	SetStatus(fill func(*wire.Status))
	Leave(ctx context.Context)
}

// Deps are what an entry or an agent is given.
type Deps struct {
	Log      *slog.Logger
	Registry *prometheus.Registry
	Codec    Codec
	Store    fleet.Store
	// Fleet is the fleet node; nil means one by the settings.
	Fleet Fleet
	// Listen opens the UDP sockets; nil means those of the system.
	Listen func(netip.AddrPort) (PacketConn, error)
	// Membership opens the sockets of the fleet node and makes its calls; nil
	// means those of the system.
	Membership func(*fleet.Options)
}

// newNode returns the fleet node that the settings describe.
func newNode(s *config.Passthrough, self membership.Record, d *Deps) (Fleet, error) {
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
			WatchTimeout: readWait,
			FirstDelay:   readFirst,
			MaxAge:       staleAfter,
		},
		Join: fleet.JoinOptions{
			SnapshotTimeout: joinTimeout, BackoffMin: joinBackoffMin, BackoffMax: joinBackoffMax, RosterInterval: rosterPause,
		},
	}
	if d.Membership != nil {
		d.Membership(&o)
	}
	return fleet.New(o)
}
