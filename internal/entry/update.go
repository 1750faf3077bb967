package entry

import (
	"context"
	"time"

	"crocusnotch/internal/lifecycle"
)

const (
	// rebuildPauseFactor is the length of the pause after a rebuild of the
	// table, as a multiple of the time that the rebuild took. It limits the CPU
	// time spent on rebuilds during bursts of changes.
	rebuildPauseFactor = 50
	// maxRebuildPause limits the pause, so that taking a zone out of service
	// takes effect quickly.
	maxRebuildPause = time.Second
)

// updateTable rebuilds the table after each change of the fleet until ctx ends.
func (e *Entry) updateTable(ctx context.Context) error {
	changes := e.fleet.Watch()
	reporter := newReporter(e.log, e.fleet.Events())
	for {
		start := time.Now()
		table := e.table.Load().Rebuild(e.fleet.Config(), e.fleet.Members())
		e.table.Store(table)
		reporter.report(time.Now(), table)
		pause := min(rebuildPauseFactor*time.Since(start), maxRebuildPause)
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
