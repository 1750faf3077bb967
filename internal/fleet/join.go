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
	joinPoll         = 250 * time.Millisecond
	meetPoll         = 20 * time.Millisecond // while a process waits for the first entry that it hears of
	joinBackoffMin   = 500 * time.Millisecond
	joinBackoffMax   = 30 * time.Second
	joinCandidates   = 4
	joinStagger      = 50 * time.Millisecond // between two candidates
	rosterHedge      = 50 * time.Millisecond // without an answer, until the rosters are read
	agentPatience    = 3                     // joins that fail before an agent reads the configuration from the store
	snapshotTimeout  = 3 * time.Second
	storeCallTimeout = 5 * time.Second
)

var errStopped = errors.New("fleet: the node has stopped")

// errUninformed says that a peer has not learned the configuration itself.
var errUninformed = errors.New("fleet: the peer knows no configuration")

// joinLoop looks for peers at the start, as long as no keys are known, without
// which nothing can be sent, and whenever no peer was heard for a while: known
// entries and seeds first, then the rosters in the store.
func (n *Node) joinLoop(ctx context.Context, r *rand.Rand) error {
	n.lonely.Store(true)
	shortest := n.opts.Joining.BackoffMin
	backoff, failed := shortest, 0
	for ctx.Err() == nil {
		if !n.lonely.Load() && n.Config().Keys != nil {
			backoff = shortest
			n.meetSeeds(ctx, r)
			lifecycle.Sleep(ctx, joinPoll)
			continue
		}
		if n.join(ctx, r, failed) {
			n.metrics.joins.WithLabelValues("found").Inc()
			backoff, failed = shortest, 0
		} else {
			failed++
			n.metrics.joins.WithLabelValues("none").Inc()
		}
		n.sleepUntilMet(ctx, backoff/2+time.Duration(r.Int64N(int64(backoff))))
		backoff = min(2*backoff, n.opts.Joining.BackoffMax)
	}
	return nil
}

// sleepUntilMet pauses the search for peers, or until a process that knew no
// entry has heard of one: it can be asked at once.
func (n *Node) sleepUntilMet(ctx context.Context, d time.Duration) {
	alone := len(n.knownEntries()) == 0
	end := time.Now().Add(d)
	for left := d; left > 0 && ctx.Err() == nil; left = time.Until(end) {
		if alone && len(n.knownEntries()) > 0 {
			return
		}
		lifecycle.Sleep(ctx, min(left, meetPoll))
	}
}

// meetSeeds lets an entry that met others, but no seed, ask the seeds: after a
// loss of power the first entries find each other by the rosters, and those that
// start later are found by the seeds.
func (n *Node) meetSeeds(ctx context.Context, r *rand.Rand) {
	if n.opts.Self.Role != membership.RoleEntry || len(n.opts.Seeds) == 0 {
		return
	}
	if slices.ContainsFunc(n.knownEntries(), func(a netip.AddrPort) bool { return slices.Contains(n.opts.Seeds, a) }) {
		return
	}
	n.snapshotFromAny(ctx, r, n.opts.Seeds)
}

// join learns from the first peer that answers. When none does, an entry reads
// the configuration from the store; an agent has no use for it before there is
// an entry, and waits for one first.
func (n *Node) join(ctx context.Context, r *rand.Rand, failed int) bool {
	if n.askPeers(ctx, r) {
		return true
	}
	patient := n.opts.Self.Role == membership.RoleAgent && failed < agentPatience
	if n.opts.Store != nil && n.configMissing() && !patient {
		n.readConfig(ctx)
	}
	return false
}

// askPeers takes a snapshot from a known entry or a seed. When none has answered
// for a while, those in the rosters are asked too: seeds may be dark.
func (n *Node) askPeers(ctx context.Context, r *rand.Rand) bool {
	first := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	found := make(chan bool, 1)
	listed := slices.Concat(n.opts.Seeds, n.rostered)
	go func() { found <- n.snapshotFromAny(ctx, first, n.knownEntries(), listed) }()
	if n.opts.Store == nil || time.Since(n.rostersRead) < n.opts.Joining.RosterPause {
		return <-found
	}
	hedge := time.NewTimer(rosterHedge)
	defer hedge.Stop()
	select {
	case ok := <-found:
		if ok {
			return true
		}
		found <- false
	case <-hedge.C:
	}
	n.rostersRead = time.Now()
	if n.snapshotFromAny(ctx, r, n.readRosters(ctx)) {
		return true
	}
	return <-found
}

// configMissing reports whether the process has nothing to work with.
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

// snapshotFromAny learns from the first of a few candidates that answers. They
// are asked one after the other without waiting for those that do not answer,
// list by list, each in random order.
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
	asked, failed := 0, 0
	for {
		if asked == len(shuffled) && asked < 2*joinCandidates {
			// An entry that was heard of meanwhile, when those asked are dark.
			shuffled = append(shuffled, n.unknownTo(shuffled)...)
		}
		if asked < len(shuffled) && ctx.Err() == nil {
			to := shuffled[asked]
			asked++
			go func() { results <- n.takeSnapshot(ctx, to) }()
		}
		if failed == asked {
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

// unknownTo returns up to one known entry that is not in the list.
func (n *Node) unknownTo(list []netip.AddrPort) []netip.AddrPort {
	for _, a := range n.knownEntries() {
		if a != n.opts.Self.Control && !slices.Contains(list, a) {
			return []netip.AddrPort{a}
		}
	}
	return nil
}

// takeSnapshot reads all pages from one entry.
func (n *Node) takeSnapshot(ctx context.Context, from netip.AddrPort) error {
	self := n.Self()
	params := wire.SnapshotParams{
		Agent: self.Role == membership.RoleAgent, Address: self.Addr.String(), Service: self.Service,
	}
	if follow := n.follow.Load(); follow != nil {
		params.Follow = *follow
	}
	for {
		next, err := n.takePage(ctx, from, params)
		if err != nil || next == 0 {
			return err
		}
		params.Cursor = next
	}
}

func (n *Node) takePage(ctx context.Context, from netip.AddrPort, params wire.SnapshotParams) (next int, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.Joining.Timeout)
	defer cancel()
	var result wire.SnapshotResult
	if err := n.opts.Call(ctx, from, wire.MethodSnapshot, params, &result); err != nil {
		return 0, err
	}
	page, err := decodePage(result.Page)
	if err != nil {
		return 0, err
	}
	n.learn(page.Records, page.Objects)
	switch {
	case result.AgeMillis < 0 && n.opts.Reading.Stale > 0 && len(params.Objects) == 0:
		return 0, errUninformed
	case result.Next == 0 && result.AgeMillis >= 0:
		n.verified(time.Now().Add(-time.Duration(result.AgeMillis)*time.Millisecond), result.Revision)
	}
	return result.Next, nil
}

func (n *Node) learn(records []membership.Record, objects []config.Object) {
	n.command(func(now time.Time) { n.core.Merge(now, records, objects) })
}

// fetch gets objects that were too large for a datagram.
func (n *Node) fetch(f membership.Fetch) {
	params := wire.SnapshotParams{}
	for _, id := range f.IDs {
		params.Objects = append(params.Objects, wire.ObjectName(id))
	}
	if _, err := n.takePage(context.Background(), f.From, params); err != nil {
		n.metrics.joins.WithLabelValues("fetch-failed").Inc()
	}
}

// readRosters returns the control addresses in all rosters and keeps them: those
// that do not run yet are asked again like seeds.
func (n *Node) readRosters(ctx context.Context) []netip.AddrPort {
	list, err := n.listRosters(ctx)
	if err != nil {
		return nil
	}
	_, n.rostered = findRoster(list.Objects, n.opts.Zone)
	seeds := n.opts.coreSeeds(n.rostered)
	n.command(func(time.Time) { n.core.SetSeeds(seeds) })
	return n.rostered
}

// readConfig learns the configuration from the store itself, for the first
// processes of a fleet.
func (n *Node) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	at := time.Now()
	list, err := n.opts.Store.List(ctx, n.opts.Reading.Kinds...)
	n.noteStore("config", err)
	if err == nil {
		n.learn(nil, list.Objects)
		n.verified(at, list.Revision)
	}
}

// noteStore keeps whether the store answers.
func (n *Node) noteStore(purpose string, err error) {
	reachable := err == nil
	if !reachable {
		n.metrics.storeErrors.WithLabelValues(purpose).Inc()
	}
	if n.store.Swap(reachable) != reachable {
		n.opts.Log.Info("store", "reachable", reachable)
	}
}
