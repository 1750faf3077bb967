package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/platform"
)

const (
	watchersPerRegion = 2
	watchWait         = 20 * time.Second
	watchPoll         = time.Second
	stalePoll         = 50 * time.Millisecond
	staleSpread       = 6 // polls over which entries with an old configuration spread their reads
	watchFirst        = 1500 * time.Millisecond
	watchBackoffMin   = 250 * time.Millisecond
	watchBackoffMax   = 10 * time.Second
	rosterPeriod      = 15 * time.Second
	rosterFirst       = 500 * time.Millisecond
	rosterSize        = 3
)

var configKinds = []string{config.KindKeys, config.KindZone, config.KindService}

// watchLoop watches the store while this entry is one of its region's
// watchers.
func (n *Node) watchLoop(ctx context.Context, r *rand.Rand) error {
	// When all entries start at once each one ranks first until it has met
	// others.
	first := n.opts.Reading.First
	lifecycle.Sleep(ctx, first+time.Duration(r.Int64N(int64(first))))
	from := uint64(0)
	backoff := watchBackoffMin
	for ctx.Err() == nil {
		wait, due := n.readDue(r)
		if !due {
			if n.opts.Reading.Stale == 0 {
				from = 0
			}
			lifecycle.Sleep(ctx, n.readPoll())
			continue
		}
		next, err := n.watchOnce(ctx, from, wait)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			from, backoff = next, watchBackoffMin
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			from = 0
		}
		lifecycle.Sleep(ctx, backoff/2+time.Duration(r.Int64N(int64(backoff))))
		backoff = min(2*backoff, watchBackoffMax)
	}
	return nil
}

// readDue reports whether this entry reads the store now, and how long the call
// may wait for a change. A watcher always does. Another entry does when its
// configuration has not been verified for a while, at a random moment, so that
// the first one's report spares the others their call.
func (n *Node) readDue(r *rand.Rand) (wait time.Duration, due bool) {
	if n.isWatcher() {
		return n.opts.Reading.Wait, true
	}
	stale := n.opts.Reading.Stale
	if stale == 0 {
		return 0, false
	}
	age := time.Since(n.Fresh())
	return 0, age > stale+time.Duration(r.Int64N(int64(stalePoll*staleSpread)))
}

// readPoll is the pause before readDue is asked again.
func (n *Node) readPoll() time.Duration {
	if n.opts.Reading.Stale == 0 {
		return watchPoll
	}
	return stalePoll
}

// verified tells the core that the objects were those of the store at the time
// at and at the revision.
func (n *Node) verified(at time.Time, revision uint64) {
	n.command(func(now time.Time) { n.core.MarkFresh(now, at, revision) })
}

// watchOnce makes one call to the store: a list at first, then a watch.
func (n *Node) watchOnce(ctx context.Context, from uint64, wait time.Duration) (next uint64, err error) {
	if from == 0 {
		return n.listConfig(ctx)
	}
	got, err := n.opts.Store.Watch(ctx, from, wait, n.opts.Reading.Kinds...)
	n.noteStore("watch", ignoreCompacted(err))
	if err != nil {
		return from, err
	}
	if got.Incomplete {
		return n.listConfig(ctx)
	}
	at := time.Now()
	n.learn(nil, got.Objects)
	n.verified(at, got.Revision)
	return max(from, got.Revision), nil
}

func ignoreCompacted(err error) error {
	if errors.Is(err, platform.ErrCompacted) {
		return nil
	}
	return err
}

// listConfig learns all objects. A known object that is not listed was deleted
// at the latest at the revision of the list.
func (n *Node) listConfig(ctx context.Context) (next uint64, err error) {
	at := time.Now()
	list, err := n.opts.Store.List(ctx, n.opts.Reading.Kinds...)
	n.noteStore("list", err)
	if err != nil {
		return 0, err
	}
	listed := map[config.ID]bool{}
	for i := range list.Objects {
		listed[list.Objects[i].ID()] = true
	}
	n.command(func(now time.Time) {
		known, _ := n.core.Objects()
		for _, o := range known {
			if !listed[o.ID()] && !o.Deleted && o.Revision < list.Revision {
				gone := config.Object{Kind: o.Kind, Name: o.Name, Revision: list.Revision, Deleted: true}
				list.Objects = append(list.Objects, gone)
			}
		}
		n.core.Merge(now, nil, list.Objects)
		n.core.MarkFresh(now, at, list.Revision)
	})
	return list.Revision, nil
}

// isWatcher reports whether this entry ranks among the first of the live
// entries of its region. No agreement is needed: two views that differ give
// some watchers more or less for a while.
func (n *Node) isWatcher() bool {
	fleet := n.Config()
	region := fleet.Region(n.Self().Zone)
	better := 0
	own := score(region, n.opts.Self.Addr)
	for _, m := range n.Members() {
		if m.Role == membership.RoleEntry && m.State == membership.StateReady &&
			fleet.Region(m.Zone) == region && score(region, m.Addr) < own {
			better++
		}
	}
	return better < n.opts.Reading.Watchers
}

func score(name string, a netip.AddrPort) uint64 { return xxhash.Sum64String(name + " " + a.String()) }

// rosterLoop keeps the roster of the own zone.
func (n *Node) rosterLoop(ctx context.Context, r *rand.Rand) error {
	lifecycle.Sleep(ctx, time.Duration(r.Int64N(int64(rosterFirst))))
	for ctx.Err() == nil {
		n.rosterTurn(ctx, r)
		lifecycle.Sleep(ctx, rosterPeriod/2+time.Duration(r.Int64N(int64(rosterPeriod))))
	}
	return nil
}

// rosterTurn writes the roster when it differs from the entries that should be
// in it. Only the entry that ranks first in its zone does so. Listed entries of
// any zone that are not known are asked first: they may belong to a part of
// the fleet that this entry has not met.
func (n *Node) rosterTurn(ctx context.Context, r *rand.Rand) {
	if n.desiredRoster()[0] != n.opts.Self.Control {
		return
	}
	list, err := n.listRosters(ctx)
	if err != nil {
		return
	}
	own, listed := findRoster(list.Objects, n.opts.Zone)
	if unknown := n.unknownOf(listed); len(unknown) > 0 && n.snapshotFromAny(ctx, r, unknown) {
		return
	}
	desired := n.desiredRoster()
	if slices.Equal(decodeRoster(&own), desired) || desired[0] != n.opts.Self.Control {
		return
	}
	n.writeRoster(ctx, own.Revision, desired)
}

// findRoster returns the roster of the zone, with revision 0 when it does not
// exist, and the addresses in all rosters.
func findRoster(objects []config.Object, zone string) (own config.Object, listed []netip.AddrPort) {
	for i := range objects {
		if objects[i].Name == zone && !objects[i].Deleted {
			own = objects[i]
		}
		listed = append(listed, decodeRoster(&objects[i])...)
	}
	return own, listed
}

func (n *Node) listRosters(ctx context.Context) (platform.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	list, err := n.opts.Store.List(ctx, config.KindRoster)
	n.noteStore("roster", err)
	return list, err
}

func (n *Node) writeRoster(ctx context.Context, revision uint64, entries []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	id := config.ID{Kind: config.KindRoster, Name: n.opts.Zone}
	value, err := config.Encode(config.Roster{Entries: entries})
	if err != nil {
		panic(err)
	}
	if revision == 0 {
		_, err = n.opts.Store.Create(ctx, id, value)
	} else {
		_, err = n.opts.Store.Update(ctx, id, revision, value)
	}
	n.metrics.rosterWrites.Inc()
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		n.noteStore("roster", err)
	}
}

func (n *Node) unknownOf(listed []netip.AddrPort) []netip.AddrPort {
	known := n.knownEntries()
	return slices.DeleteFunc(slices.Clone(listed), func(a netip.AddrPort) bool {
		return a == n.opts.Self.Control || slices.Contains(known, a)
	})
}

// desiredRoster returns the control addresses of the live entries of the own
// zone that rank first, the own one included.
func (n *Node) desiredRoster() []netip.AddrPort {
	self := n.Self()
	ranked := []membership.Record{self}
	for _, m := range n.Members() {
		if m.Role == membership.RoleEntry && m.Zone == self.Zone && m.State == membership.StateReady {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(x, y membership.Record) int {
		return cmp.Compare(score(n.opts.Zone, x.Addr), score(n.opts.Zone, y.Addr))
	})
	var out []netip.AddrPort
	for _, m := range ranked[:min(len(ranked), rosterSize)] {
		out = append(out, m.Control)
	}
	return out
}

func decodeRoster(o *config.Object) []netip.AddrPort {
	roster := config.Roster{}
	if o.Deleted || len(o.Value) == 0 || config.Decode(o.Value, &roster) != nil {
		return nil
	}
	return roster.Entries
}
