package passthrough

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/checkpoint"
	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/wire"
)

const (
	// checkpointPoll is the interval at which an entry checks whether a report is due.
	checkpointPoll = 250 * time.Millisecond
	// checkpointReadInterval is the mean time between two tries to read the checkpoint
	// after a start.
	checkpointReadInterval = 500 * time.Millisecond
	// checkpointReadPeriod is how long an entry tries to read it: later most of the flows
	// have been used, and found to have ended.
	checkpointReadPeriod = 15 * time.Second
	// checkpointTimeout bounds one call. Nothing waits for it.
	checkpointTimeout = 2 * time.Second
)

// Outcomes of checkpointer.count.
const (
	checkpointRead      = "read"
	checkpointAbsent    = "absent"  // there is none
	checkpointUnread    = "unread"  // the store did not answer
	checkpointRefused   = "refused" // malformed, not authentic or of a later version
	checkpointWritten   = "written"
	checkpointUnwritten = "unwritten"
)

// CheckpointStore is the part of the platform's store that keeps checkpoints.
type CheckpointStore interface {
	Get(ctx context.Context, id config.ID) (config.Object, error)
	Create(ctx context.Context, id config.ID, value []byte) (config.Object, error)
	Update(ctx context.Context, id config.ID, expected uint64, value []byte) (config.Object, error)
}

// checkpointer reports the open flows of an entry to the writer of its group, which records
// them in the store, and reads after a start what was recorded before. A failure only
// leaves flows to be found by their next packet.
type checkpointer struct {
	entry    *Entry
	store    CheckpointStore
	self     flow.Endpoint
	group    int
	groups   int
	revision uint64 // of the object, 0 if it does not exist

	reportAt time.Time // when the next report is due
	schedule checkpoint.Schedule

	// Guarded by the entry's mu.
	collector  checkpoint.Collector
	reportedTo flow.Endpoint // the writer of the group
	reportedAt time.Time
	writtenAt  time.Time // when this entry last wrote the checkpoint
	flows      int       // in it
}

func newCheckpointer(e *Entry) *checkpointer {
	self := flow.EndpointOf(e.settings.Data)
	groups := e.settings.CheckpointGroups
	return &checkpointer{
		entry: e, store: e.deps.Checkpoints, self: self, groups: groups, group: checkpoint.GroupOf(self, groups),
	}
}

func (c *checkpointer) id() config.ID {
	return config.ID{Kind: config.KindFlows, Name: checkpoint.ObjectName(c.group)}
}

// run reads the checkpoint, then reports or writes whenever it is due.
func (c *checkpointer) run(ctx context.Context) error {
	c.readFirst(ctx)
	for lifecycle.Sleep(ctx, checkpointPoll) {
		c.poll(ctx, time.Now())
	}
	return nil
}

// readFirst reads the checkpoint until the store has answered.
func (c *checkpointer) readFirst(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < checkpointReadPeriod {
		if err := c.read(ctx); err == nil {
			return
		}
		c.count(checkpointUnread)
		lifecycle.Sleep(ctx, checkpointReadInterval/2+rand.N(checkpointReadInterval))
	}
}

// read reads the checkpoint and lets the router verify the own flows in it. The error is
// the store's.
func (c *checkpointer) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	o, err := c.store.Get(ctx, c.id())
	if errors.Is(err, platform.ErrNotFound) {
		c.count(checkpointAbsent)
		return nil
	}
	if err != nil {
		return err
	}
	c.revision = o.Revision
	decoded, err := checkpoint.Decode(o.Value, c.entry.keys)
	if err != nil {
		c.count(checkpointRefused)
		c.entry.deps.Log.Warn("checkpoint of flows refused", "object", c.id().Name, "bytes", len(o.Value), "error", err.Error())
		return nil
	}
	c.count(checkpointRead)
	own := decoded.FlowsOf(c.self)
	c.entry.deps.Log.Info(
		"checkpoint of flows read", "object", c.id().Name, "flows", decoded.Len(), "own", len(own),
		"age_ms", time.Since(decoded.Written).Milliseconds(),
	)
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.entry.router.VerifyFlows(time.Now(), own)
	// Until the members report themselves: an entry that comes back later reads what this
	// one writes.
	for _, m := range decoded.Members {
		c.collector.Report(time.Now(), m.Entry, m.Flows)
	}
	return nil
}

// poll reports the open flows to the writer of the group when it is time. The writer then
// records those of all members if they are worth a call.
func (c *checkpointer) poll(ctx context.Context, now time.Time) {
	if now.Before(c.reportAt) {
		return
	}
	c.entry.mu.Lock()
	members := checkpoint.MembersOf(c.group, c.groups, c.entry.router.view.Entries)
	flows := c.entry.router.OpenFlows(c.entry.settings.CheckpointFlows)
	c.reportAt = now.Add(checkpoint.ReportAfter(len(flows)))
	c.report(now, members, flows)
	var recorded checkpoint.Checkpoint
	writer := c.reportedTo == c.self
	if writer {
		recorded = c.collector.Checkpoint(now)
	} else {
		c.collector.Clear()
		c.writtenAt, c.flows = time.Time{}, 0
	}
	c.entry.mu.Unlock()
	c.schedule.SetWriter(now, writer)
	if c.schedule.Due(now, &recorded, len(members)) {
		c.write(ctx, now, &recorded)
	}
}

// report reports the flows to the writer of the group, which is the first member.
func (c *checkpointer) report(now time.Time, members []flow.Endpoint, flows []checkpoint.Flow) {
	if len(members) == 0 {
		return
	}
	c.reportedTo, c.reportedAt = members[0], now
	if members[0] == c.self {
		c.collector.Report(now, c.self, flows)
		return
	}
	for part := range slices.Chunk(flows, maxReportedFlows) {
		c.entry.SendMessage(members[0], &Message{Kind: KindOpenFlows, Flows: part})
	}
}

// status returns what the entry does for the checkpoint and when it last did. The entry's
// mu must be held.
func (c *checkpointer) status() wire.Observation {
	o := wire.Observation{Subject: "checkpoint of flows"}
	switch {
	case c.reportedAt.IsZero():
		o.Value, o.AgeMillis = "not reported yet", ageMillis(c.reportedAt)
	case c.reportedTo == c.self:
		o.Value, o.AgeMillis = fmt.Sprintf("%s, writer, %d flows", c.id().Name, c.flows), ageMillis(c.writtenAt)
	default:
		o.Value, o.AgeMillis = fmt.Sprintf("%s, reported to %s", c.id().Name, c.reportedTo), ageMillis(c.reportedAt)
	}
	return o
}

// receive records a report of another member. The entry's mu must be held.
func (c *checkpointer) receive(now time.Time, from flow.Endpoint, flows []checkpoint.Flow) {
	c.collector.Report(now, from, flows)
}

func (c *checkpointer) write(ctx context.Context, now time.Time, recorded *checkpoint.Checkpoint) {
	value := checkpoint.Encode(*recorded, c.entry.keys)
	c.schedule.Attempted(now, len(value))
	err := c.replace(ctx, value)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		err = c.replace(ctx, value) // at the revision of the writer before
	}
	if err != nil {
		c.count(checkpointUnwritten)
		return
	}
	c.schedule.Written(recorded)
	c.count(checkpointWritten)
	c.entry.mu.Lock()
	c.writtenAt, c.flows = now, recorded.Len()
	c.entry.mu.Unlock()
}

// replace writes the object. After a conflict it takes over the current revision.
func (c *checkpointer) replace(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	var o config.Object
	var err error
	if c.revision == 0 {
		o, err = c.store.Create(ctx, c.id(), value)
	} else {
		o, err = c.store.Update(ctx, c.id(), c.revision, value)
	}
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.revision = o.Revision
	case errors.As(err, &conflict) && conflict.Current != nil:
		c.revision = conflict.Current.Revision
	case errors.As(err, &conflict), errors.Is(err, platform.ErrRestored):
		c.revision = 0
	}
	return err
}

func (c *checkpointer) count(outcome string) {
	c.entry.counters.checkpoints.WithLabelValues(outcome).Inc()
}
