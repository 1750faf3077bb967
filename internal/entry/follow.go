package entry

import (
	"context"
	"time"
)

const (
	// rebuildRest is the rest after a rebuild of the table, as a multiple of
	// the time that it took. It bounds the processor time of bursts.
	rebuildRest = 50
	// maxRebuildRest bounds the rest, so that a zone taken out is soon in
	// force.
	maxRebuildRest = time.Second
)

// follow keeps the table in step with the fleet until ctx ends.
func (e *Entry) follow(ctx context.Context) error {
	changes := e.fleet.Watch()
	reporter := newReporter(e.log, e.fleet.Events())
	for {
		start := time.Now()
		table := e.table.Load().Next(e.fleet.Config(), e.fleet.Members())
		e.table.Store(table)
		reporter.report(time.Now(), table)
		rest := min(rebuildRest*time.Since(start), maxRebuildRest)
		if !sleep(ctx, rest) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}
