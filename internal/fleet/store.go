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
	watchersPerRegion     = 2
	defaultWatchTimeout   = 20 * time.Second
	watcherPollInterval   = time.Second
	stalePollInterval     = 50 * time.Millisecond
	staleJitterPolls      = 6 // poll intervals over which entries spread their reads after MaxAge
	defaultFirstReadDelay = 1500 * time.Millisecond
	watchBackoffMin       = 250 * time.Millisecond
	defaultReadBackoffMax = 10 * time.Second
	rosterPeriod          = 15 * time.Second
	maxRosterStartDelay   = 500 * time.Millisecond
	rosterSize            = 3
)

var configKinds = []string{config.KindKeys, config.KindZone, config.KindService}

// storeReadLoop watches the store while this entry is one of its region's watchers,
// and otherwise reads it when the configuration has not been verified for MaxAge.
func (n *Node) storeReadLoop(ctx context.Context, r *rand.Rand) error {
	// When all entries start at once, each ranks first until it knows others: the
	// delay keeps them from all reading the store.
	first := n.opts.StoreReads.FirstDelay
	lifecycle.Sleep(ctx, first+time.Duration(r.Int64N(int64(first))))
	from := uint64(0)
	backoff := watchBackoffMin
	if n.opts.StoreReads.FirstInterval > 0 {
		n.readFirstConfig(ctx, r)
	}
	for ctx.Err() == nil {
		wait, due := n.storeReadDue(r)
		if !due {
			if n.opts.StoreReads.MaxAge == 0 {
				from = 0
			}
			lifecycle.Sleep(ctx, n.storeReadPollInterval())
			continue
		}
		next, err := n.readStore(ctx, from, wait)
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
		backoff = min(2*backoff, n.opts.StoreReads.BackoffMax)
	}
	return nil
}

// storeReadDue reports whether this entry reads the store now, and how long the call
// may wait for a change. A watcher always reads. Another entry reads when its
// configuration has not been verified for MaxAge plus a random delay: the entry that
// reads first reports the result to the others, which then need no call of their
// own.
func (n *Node) storeReadDue(r *rand.Rand) (wait time.Duration, due bool) {
	if n.isWatcher() {
		return n.watchTimeout(), true
	}
	maxAge := n.opts.StoreReads.MaxAge
	if maxAge == 0 {
		return 0, false
	}
	age := time.Since(n.VerifiedAt())
	return 0, age > maxAge+time.Duration(r.Int64N(int64(stalePollInterval*staleJitterPolls)))
}

// storeReadPollInterval returns the pause between two calls of storeReadDue.
func (n *Node) storeReadPollInterval() time.Duration {
	if n.opts.StoreReads.MaxAge == 0 {
		return watcherPollInterval
	}
	return stalePollInterval
}

// watchTimeout returns how long a watch may wait: not beyond the time at which the list
// must be repeated.
func (n *Node) watchTimeout() time.Duration {
	wait := n.opts.StoreReads.WatchTimeout
	if at := n.listAgainAt.Load(); at != 0 {
		wait = max(0, min(wait, time.Duration(at)-time.Since(n.started)))
	}
	return wait
}

// listIsDue reports whether the list must be repeated, because objects were missing that
// a restored store may have lost.
func (n *Node) listIsDue() bool {
	at := n.listAgainAt.Load()
	return at != 0 && time.Since(n.started) >= time.Duration(at)
}

// sinceStart returns a time as nanoseconds after the start of the node, 0 for the zero
// time.
func (n *Node) sinceStart(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return int64(at.Sub(n.started))
}

// markVerified records in the core that its objects were verified as the store's
// latest at the time and the revision.
func (n *Node) markVerified(at time.Time, revision uint64) {
	n.enqueue(func(now time.Time) { n.core.MarkVerified(now, at, revision) })
}

// readStore makes one call to the store: a list when from is 0, else a watch.
// An incomplete watch result is followed by a list.
func (n *Node) readStore(ctx context.Context, from uint64, wait time.Duration) (next uint64, err error) {
	if from == 0 || n.listIsDue() {
		return n.listConfig(ctx)
	}
	got, err := n.opts.Store.Watch(ctx, from, wait, n.opts.StoreReads.Kinds...)
	n.recordStoreResult("watch", ignoreCompacted(err))
	if err != nil {
		return from, err
	}
	if got.Incomplete {
		return n.listConfig(ctx)
	}
	at := time.Now()
	n.merge(nil, got.Objects)
	n.markVerified(at, got.Revision)
	return max(from, got.Revision), nil
}

func ignoreCompacted(err error) error {
	if errors.Is(err, platform.ErrCompacted) {
		return nil
	}
	return err
}

// listConfig merges all objects of the store into the core.
func (n *Node) listConfig(ctx context.Context) (next uint64, err error) {
	at := time.Now()
	list, err := n.opts.Store.List(ctx, n.opts.StoreReads.Kinds...)
	n.recordStoreResult("list", err)
	if err != nil {
		return 0, err
	}
	n.recordUnreadable(n.opts.StoreReads.Kinds, list.Problems)
	n.enqueue(func(now time.Time) {
		repeatAt := n.core.MergeList(now, at, list.Objects, list.Revision, list.Unknown...)
		n.listAgainAt.Store(n.sinceStart(repeatAt))
	})
	return list.Revision, nil
}

// isWatcher reports whether this entry ranks among the first live entries of its
// region. The entries need no agreement: while their member lists differ, there are
// some watchers more or fewer.
func (n *Node) isWatcher() bool {
	fleet := n.Config()
	region := fleet.Region(n.Self().Zone)
	rankedBefore := 0
	own := rankScore(region, n.opts.Self.Addr)
	for _, m := range n.Members() {
		if m.Role == membership.RoleEntry && m.State == membership.StateReady &&
			fleet.Region(m.Zone) == region && rankScore(region, m.Addr) < own {
			rankedBefore++
		}
	}
	return rankedBefore < n.opts.StoreReads.Watchers
}

// rankScore orders processes by rendezvous hashing; the lowest score ranks first.
func rankScore(name string, a netip.AddrPort) uint64 {
	return xxhash.Sum64String(name + " " + a.String())
}

// rosterLoop keeps the roster of the own zone up to date, and writes it again soon after
// the store was restored from a copy.
func (n *Node) rosterLoop(ctx context.Context, r *rand.Rand) error {
	lifecycle.Sleep(ctx, time.Duration(r.Int64N(int64(maxRosterStartDelay))))
	for ctx.Err() == nil {
		n.updateRoster(ctx, r)
		next := time.NewTimer(rosterPeriod/2 + time.Duration(r.Int64N(int64(rosterPeriod))))
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-n.restored:
			lifecycle.Sleep(ctx, time.Duration(r.Int64N(int64(maxRosterStartDelay))))
		}
		next.Stop()
	}
	return nil
}

// updateRoster writes the roster of the own zone when it differs from the desired
// one. Only the entry that ranks first in its zone does so. It first requests a
// snapshot from unknown entries in the rosters of all zones: they may belong to a
// partition of the fleet that this entry has not joined.
func (n *Node) updateRoster(ctx context.Context, r *rand.Rand) {
	if n.desiredRoster()[0] != n.opts.Self.Control {
		return
	}
	list, err := n.listRosters(ctx)
	if err != nil {
		return
	}
	own, inRosters := findRoster(list.Objects, n.opts.Zone)
	if unknown := n.unknownEntries(inRosters); len(unknown) > 0 && n.snapshotFromAny(ctx, r, unknown) {
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
func findRoster(objects []config.Object, zone string) (own config.Object, inRosters []netip.AddrPort) {
	for i := range objects {
		if objects[i].Name == zone && !objects[i].Deleted {
			own = objects[i]
		}
		inRosters = append(inRosters, decodeRoster(&objects[i])...)
	}
	return own, inRosters
}

func (n *Node) listRosters(ctx context.Context) (platform.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	list, err := n.opts.Store.List(ctx, config.KindRoster)
	n.recordStoreResult("roster", err)
	if err == nil {
		n.recordUnreadable([]string{config.KindRoster}, list.Problems)
	}
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
		n.recordStoreResult("roster", err)
	}
}

// unknownEntries returns the addresses that belong neither to a known entry nor to
// this process.
func (n *Node) unknownEntries(addrs []netip.AddrPort) []netip.AddrPort {
	known := n.knownEntries()
	return slices.DeleteFunc(slices.Clone(addrs), func(a netip.AddrPort) bool {
		return a == n.opts.Self.Control || slices.Contains(known, a)
	})
}

// desiredRoster returns the control addresses of the first rosterSize entries of
// the own zone by rank. This entry and the live entries that it knows are ranked.
func (n *Node) desiredRoster() []netip.AddrPort {
	self := n.Self()
	ranked := []membership.Record{self}
	for _, m := range n.Members() {
		if m.Role == membership.RoleEntry && m.Zone == self.Zone && m.State == membership.StateReady {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(x, y membership.Record) int {
		return cmp.Compare(rankScore(n.opts.Zone, x.Addr), rankScore(n.opts.Zone, y.Addr))
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
