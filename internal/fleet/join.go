package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const (
	joinPollInterval          = 250 * time.Millisecond
	firstEntryPollInterval    = 20 * time.Millisecond // while no entry is known
	joinBackoffMin            = 500 * time.Millisecond
	joinBackoffMax            = 30 * time.Second
	joinCandidates            = 4
	joinStagger               = 50 * time.Millisecond // between the requests to two candidates
	rosterHedgeDelay          = 50 * time.Millisecond // without a reply, until the rosters are read
	agentJoinsBeforeStoreRead = 3                     // failed joins before an agent reads the configuration from the store
	snapshotTimeout           = 3 * time.Second
	storeCallTimeout          = 5 * time.Second
	maxVerifiedAge            = 24 * time.Hour // longer ones make no difference
)

var errStopped = errors.New("fleet: the node has stopped")

// errPeerNotVerified reports that the configuration of a peer was never verified
// against the store.
var errPeerNotVerified = errors.New("fleet: the configuration of the peer is not verified")

// joinLoop looks for peers at the start, while no keys are known, since messages
// can't be signed without them, and whenever no message of a peer was received for
// a while. It contacts known entries and seeds first, then the entries in the
// rosters of the store.
func (n *Node) joinLoop(ctx context.Context, r *rand.Rand) error {
	n.isolated.Store(true)
	minBackoff := n.opts.Join.BackoffMin
	backoff, failed := minBackoff, 0
	for ctx.Err() == nil {
		if !n.isolated.Load() && n.Config().Keys != nil {
			backoff = minBackoff
			n.takeFirstSnapshot(ctx, r)
			n.contactSeeds(ctx, r)
			lifecycle.Sleep(ctx, joinPollInterval)
			continue
		}
		if n.tryJoin(ctx, r, failed) {
			n.metrics.joins.WithLabelValues("found").Inc()
			backoff, failed = minBackoff, 0
		} else {
			failed++
			n.metrics.joins.WithLabelValues("none").Inc()
		}
		n.sleepUntilEntryKnown(ctx, backoff/2+time.Duration(r.Int64N(int64(backoff))))
		backoff = min(2*backoff, n.opts.Join.BackoffMax)
	}
	return nil
}

// sleepUntilEntryKnown pauses the search for peers for d. A process that knew no
// entry returns as soon as it learns of one, which it can contact at once.
func (n *Node) sleepUntilEntryKnown(ctx context.Context, d time.Duration) {
	noEntries := len(n.knownEntries()) == 0
	end := time.Now().Add(d)
	for left := d; left > 0 && ctx.Err() == nil; left = time.Until(end) {
		if noEntries && len(n.knownEntries()) > 0 {
			return
		}
		lifecycle.Sleep(ctx, min(left, firstEntryPollInterval))
	}
}

// takeFirstSnapshot takes a snapshot if this entry found its peers by other means, such
// as the acknowledgements of its pings: repairs alone would fill its tables over many
// seconds.
func (n *Node) takeFirstSnapshot(ctx context.Context, r *rand.Rand) {
	if n.opts.Self.Role == membership.RoleEntry && !n.Joined() {
		n.snapshotFromAny(ctx, r, n.knownEntries())
	}
}

// Joined reports whether this process has taken a whole snapshot of a peer's tables.
func (n *Node) Joined() bool { return n.joined.Load() }

// contactSeeds requests a snapshot from the seeds when this entry knows other
// entries but none of the seeds: after a power loss the first entries find each
// other through the rosters, and those that start later join through the seeds.
func (n *Node) contactSeeds(ctx context.Context, r *rand.Rand) {
	if n.opts.Self.Role != membership.RoleEntry || len(n.opts.Seeds) == 0 {
		return
	}
	if slices.ContainsFunc(n.knownEntries(), func(a netip.AddrPort) bool { return slices.Contains(n.opts.Seeds, a) }) {
		return
	}
	n.snapshotFromAny(ctx, r, n.opts.Seeds)
}

// tryJoin takes a snapshot from the first peer that replies. When none does, an
// entry that lacks configuration reads it from the store. An agent needs an entry
// to be of use, so it does so only after a few failed joins.
func (n *Node) tryJoin(ctx context.Context, r *rand.Rand, failed int) bool {
	if n.joinFromPeers(ctx, r) {
		return true
	}
	waitForEntry := n.opts.Self.Role == membership.RoleAgent && failed < agentJoinsBeforeStoreRead
	if n.opts.Store != nil && n.configMissing() && !waitForEntry {
		n.readConfig(ctx)
	}
	return false
}

// joinFromPeers takes a snapshot from a known entry, a seed or an entry of the
// rosters as last read. When none has replied within rosterHedgeDelay, it reads the
// rosters and contacts the entries in them too, because all seeds may be
// unreachable.
func (n *Node) joinFromPeers(ctx context.Context, r *rand.Rand) bool {
	firstRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	found := make(chan bool, 1)
	configured := slices.Concat(n.opts.Seeds, n.rosterEntries)
	go func() { found <- n.snapshotFromAny(ctx, firstRand, n.knownEntries(), configured) }()
	if n.opts.Store == nil || time.Since(n.rostersReadAt) < n.opts.Join.RosterInterval {
		return <-found
	}
	hedge := time.NewTimer(rosterHedgeDelay)
	defer hedge.Stop()
	select {
	case ok := <-found:
		if ok {
			return true
		}
		found <- false
	case <-hedge.C:
	}
	n.rostersReadAt = time.Now()
	if n.snapshotFromAny(ctx, r, n.readRosters(ctx)) {
		return true
	}
	return <-found
}

// configMissing reports whether the process lacks the keys or, as an entry with
// fixed keys, the routes.
func (n *Node) configMissing() bool {
	c := n.Config()
	return c.Keys == nil || n.opts.Keys != nil && n.opts.Self.Role == membership.RoleEntry && c.Routes == nil
}

func (n *Node) knownEntries() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range n.Members() {
		if m.Role == membership.RoleEntry {
			out = append(out, m.Control)
		}
	}
	return out
}

// snapshotFromAny takes a snapshot from the first of a few candidates that replies.
// It contacts them list by list, each list in random order, and starts the next
// request after joinStagger without waiting for the earlier ones to finish.
func (n *Node) snapshotFromAny(ctx context.Context, r *rand.Rand, lists ...[]netip.AddrPort) bool {
	var shuffled []netip.AddrPort
	for _, list := range lists {
		list = slices.DeleteFunc(slices.Clone(list), func(a netip.AddrPort) bool {
			return a == n.opts.Self.Control || slices.Contains(shuffled, a)
		})
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		shuffled = append(shuffled, list...)
	}
	shuffled = shuffled[:min(len(shuffled), joinCandidates)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2*joinCandidates)
	contacted, failed := 0, 0
	for {
		if contacted == len(shuffled) && contacted < 2*joinCandidates {
			// Those contacted may be unreachable: add an entry learned in the
			// meantime.
			shuffled = append(shuffled, n.knownEntryNotIn(shuffled)...)
		}
		if contacted < len(shuffled) && ctx.Err() == nil {
			to := shuffled[contacted]
			contacted++
			go func() { results <- n.fetchSnapshot(ctx, to) }()
		}
		if failed == contacted {
			return false
		}
		next := time.NewTimer(joinStagger)
		select {
		case err := <-results:
			next.Stop()
			if err == nil {
				return true
			}
			failed++
		case <-next.C:
		}
	}
}

// knownEntryNotIn returns up to one known entry that is not in the list.
func (n *Node) knownEntryNotIn(list []netip.AddrPort) []netip.AddrPort {
	for _, a := range n.knownEntries() {
		if a != n.opts.Self.Control && !slices.Contains(list, a) {
			return []netip.AddrPort{a}
		}
	}
	return nil
}

// fetchSnapshot requests all pages of a snapshot from one entry and merges them. The
// error is errPeerNotVerified if only the members are of use.
func (n *Node) fetchSnapshot(ctx context.Context, from netip.AddrPort) error {
	self := n.Self()
	params := wire.SnapshotParams{
		Agent: self.Role == membership.RoleAgent, Address: self.Addr.String(), Service: self.Service,
	}
	if name := n.serviceName.Load(); name != nil {
		params.Follow = *name
	}
	var unverified error
	for {
		next, err := n.fetchPage(ctx, from, params)
		switch {
		case errors.Is(err, errPeerNotVerified):
			unverified = err
		case err != nil:
			return err
		}
		if next == 0 {
			n.joined.Store(true)
			return unverified
		}
		if next <= params.Cursor || next > maxSnapshotPages {
			return errors.Errorf("fleet: page %d of a snapshot follows page %d", next, params.Cursor)
		}
		params.Cursor = next
	}
}

// fetchPage requests one page of a snapshot, merges it and returns the number of the
// next page, 0 after the last, also with errPeerNotVerified.
func (n *Node) fetchPage(ctx context.Context, from netip.AddrPort, params wire.SnapshotParams) (next int, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.Join.SnapshotTimeout)
	defer cancel()
	var result wire.SnapshotResult
	if err := n.opts.Call(ctx, from, wire.MethodSnapshot, params, &result); err != nil {
		return 0, err
	}
	page, err := decodePage(result.Page)
	if err != nil {
		return 0, err
	}
	n.merge(page.Records, page.Objects)
	switch {
	case result.AgeMillis < 0 && n.opts.StoreReads.MaxAge > 0 && len(params.Objects) == 0:
		return result.Next, errPeerNotVerified
	case result.Next == 0 && result.AgeMillis >= 0:
		age := time.Duration(min(result.AgeMillis, maxVerifiedAge.Milliseconds())) * time.Millisecond
		n.markVerified(time.Now().Add(-age), result.Revision)
	}
	return result.Next, nil
}

// merge makes the loop merge records and objects into the core.
func (n *Node) merge(records []membership.Record, objects []config.Object) {
	n.enqueue(func(now time.Time) { n.core.Merge(now, records, objects) })
}

// fetchObjects requests objects that were too large for a datagram.
func (n *Node) fetchObjects(f membership.Fetch) {
	params := wire.SnapshotParams{}
	for _, id := range f.IDs {
		params.Objects = append(params.Objects, wire.ObjectName(id))
	}
	if _, err := n.fetchPage(context.Background(), f.From, params); err != nil {
		n.metrics.joins.WithLabelValues("fetch-failed").Inc()
	}
}

// readRosters returns the control addresses in all rosters. It keeps them, so that
// entries that do not run yet are contacted again like seeds.
func (n *Node) readRosters(ctx context.Context) []netip.AddrPort {
	list, err := n.listRosters(ctx)
	if err != nil {
		return nil
	}
	_, n.rosterEntries = findRoster(list.Objects, n.opts.Zone)
	seeds := n.opts.coreSeeds(n.rosterEntries)
	n.enqueue(func(time.Time) { n.core.SetSeeds(seeds) })
	return n.rosterEntries
}

// readConfig reads the configuration from the store. The first processes of a fleet
// have no peer to get it from.
func (n *Node) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	at := time.Now()
	list, err := n.opts.Store.List(ctx, n.opts.StoreReads.Kinds...)
	n.recordStoreResult("config", err)
	if err == nil {
		n.recordUnreadable(n.opts.StoreReads.Kinds, list.Problems)
		n.merge(nil, list.Objects)
		n.markVerified(at, list.Revision)
	}
}

// recordStoreResult records whether a call to the store succeeded, counts failures
// and logs when the store becomes reachable or unreachable.
func (n *Node) recordStoreResult(purpose string, err error) {
	reachable := err == nil
	if !reachable {
		n.metrics.storeErrors.WithLabelValues(purpose).Inc()
	}
	if n.storeReachable.Swap(reachable) != reachable {
		n.opts.Log.Info("store", "reachable", reachable)
	}
}
