package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"crocusnotch/internal/lifecycle"
)

// firstReadIntervalPerEntry bounds the reads of processes without a configuration to 200
// a second for the whole fleet: their interval grows with the number of known entries.
const firstReadIntervalPerEntry = 5 * time.Millisecond

// lacksConfig reports whether this process has no configuration, neither the store's nor
// a peer's, so that it can serve nothing.
func (n *Node) lacksConfig() bool { return n.Config().Revision == 0 }

// readFirstConfig reads the configuration until there is one. A call that began while the
// store was silent gets no answer when the store returns, so the next call does not wait
// for it; and each may last as long as a slow store takes.
func (n *Node) readFirstConfig(ctx context.Context, r *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for n.lacksConfig() && ctx.Err() == nil {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, n.opts.StoreReads.FirstTimeout)
			defer cancel()
			_, _ = n.listConfig(ctx) // failures are counted and logged by recordStoreResult
		})
		interval := max(n.opts.StoreReads.FirstInterval, firstReadIntervalPerEntry*time.Duration(len(n.knownEntries())))
		lifecycle.Sleep(ctx, interval/2+time.Duration(r.Int64N(int64(interval))))
	}
}
