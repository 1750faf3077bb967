package entry

import (
	"context"
	"time"

	"crocusnotch/internal/lifecycle"
)

const (
	// rebuildPause is the pause after a rebuild of the table, as a multiple of
	// the time that it took. It bounds the processor time of bursts.
	rebuildPause = 50
	// maxRebuildPause bounds the pause, so that a zone taken out is soon in
	// force.
	maxRebuildPause = time.Second
)

// follow keeps the table in step with the fleet until ctx ends.
func (e *Entry) follow(ctx context.Context) error {
	changes := e.fleet.Watch()
	reporter := newReporter(e.log, e.fleet.Events())
	for {
		start := time.Now()
		table := e.table.Load().Rebuild(e.fleet.Config(), e.fleet.Members())
		e.table.Store(table)
		reporter.report(time.Now(), table)
		pause := min(rebuildPause*time.Since(start), maxRebuildPause)
		if !lifecycle.Sleep(ctx, pause) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}
