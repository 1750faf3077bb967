package fleet

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/membership"
)

// departedRetention is how long a member that left or was declared dead is reported
// as departed. A restart, after which the member is live again, takes a second or
// two.
const departedRetention = 8 * time.Second

// loop owns the core: it passes messages, commands and ticks to the core and
// carries out the output.
func (n *Node) loop(ctx context.Context) error {
	tick := time.NewTimer(n.core.Period(time.Now()))
	defer tick.Stop()
	defer n.closeStopped()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.stopped:
			return nil
		case m := <-n.inbox:
			n.core.Receive(time.Now(), m)
		case f := <-n.commands:
			f(time.Now())
		case <-tick.C:
			now := time.Now()
			tick.Reset(n.core.Period(now))
			n.core.Tick(now)
			n.isolated.Store(n.core.Isolated(now))
		}
		now := time.Now()
		n.applyOutput(now)
		n.publishVerifiedAt()
		n.awaitingEntry.Store(n.core.AwaitingEntry(now))
		n.restarted.Store(n.core.Restarted())
	}
}

// applyOutput carries out the output of the core.
func (n *Node) applyOutput(now time.Time) {
	out := n.core.TakeOutput()
	n.membersDirty = n.membersDirty || out.MembersChanged
	n.objectsDirty = n.objectsDirty || out.ObjectsChanged
	self := n.core.Self()
	n.self.Store(&self)
	n.publish(now) // before sending, which needs the keys
	for _, s := range out.Sends {
		n.sendMessage(s)
	}
	for _, f := range out.Fetches {
		n.startFetch(f)
	}
	for _, c := range out.Changes {
		n.recordMemberChange(now, c)
	}
	if out.Restored {
		n.recordRestore(now)
	}
}

// recordRestore records that the store was restored from a copy, and wakes the loop that
// writes the roster again.
func (n *Node) recordRestore(now time.Time) {
	n.metrics.storeRestores.Inc()
	n.events.Add(now, explain.SubjectConfig, "store", "restored from a copy", "the store reports a higher era")
	n.opts.Log.Warn("store restored from a copy", "era", n.core.Era())
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// startFetch fetches large objects in the background. Many peers announce the same
// object; it is fetched from one of them at a time.
func (n *Node) startFetch(f membership.Fetch) {
	f.IDs = slices.DeleteFunc(f.IDs, func(id config.ID) bool { return n.fetching[id] })
	if len(f.IDs) == 0 {
		return
	}
	for _, id := range f.IDs {
		n.fetching[id] = true
	}
	go func() {
		n.fetchObjects(f)
		n.enqueue(func(time.Time) {
			for _, id := range f.IDs {
				delete(n.fetching, id)
			}
		})
	}()
}

// publish makes changes visible to the rest of the process, at a bounded rate:
// copying all records and objects costs more than merging one change.
func (n *Node) publish(now time.Time) {
	if !n.membersDirty && !n.objectsDirty || now.Sub(n.publishedAt) < n.publishPeriod(now) {
		return
	}
	if n.objectsDirty {
		n.objectsDirty = false
		n.rebuildConfig(now)
		n.updateOwnZone(now)
	}
	if n.membersDirty {
		n.membersDirty = false
		members := n.core.Members()
		n.members.Store(&members)
		departed := n.core.Departed(now.Add(-departedRetention))
		n.departed.Store(&departed)
	}
	n.publishedAt = now
	n.notifySubscribers()
}

// publishPeriod returns the shortest time between two publications.
func (n *Node) publishPeriod(now time.Time) time.Duration {
	return min(maxPublishPeriod, n.core.Period(now)/2)
}

// withFixedKeys sets the keys of a configuration to the fixed ones, if any.
func (n *Node) withFixedKeys(fleet *config.Fleet) *config.Fleet {
	if n.opts.Keys != nil {
		fleet.Keys = n.opts.Keys
	}
	return fleet
}

// publishVerifiedAt publishes the time at which the objects were last verified as the
// store's latest, unless changed objects are not in force yet.
func (n *Node) publishVerifiedAt() {
	if n.objectsDirty {
		return
	}
	at := n.core.VerifiedAt()
	if at.IsZero() {
		n.verifiedNanos.Store(0)
		return
	}
	n.verifiedNanos.Store(max(1, int64(at.Sub(n.started))))
}

// rebuildConfig builds the configuration from the valid objects, puts it in force
// and reports the objects that were refused.
func (n *Node) rebuildConfig(now time.Time) {
	valid, problems := n.core.Objects()
	fleet, more := n.builder.Build(valid)
	problems = append(problems, more...)
	before := n.config.Swap(n.withFixedKeys(fleet))
	reported := n.problems.Swap(&problems)
	for _, p := range problems {
		if !slices.ContainsFunc(*reported, func(k config.Problem) bool { return k.ID == p.ID && k.Revision == p.Revision }) {
			n.metrics.configRefused.Inc()
			n.events.Add(now, explain.SubjectConfig, p.ID.Name, "object refused", p.Err.Error())
			n.opts.Log.Warn("configuration object refused", "kind", p.ID.Kind, "name", p.ID.Name, "revision", config.StoreRevision(p.Revision), "era", config.EraOf(p.Revision), "err", p.Err)
		}
	}
	n.recordZoneChanges(now, before, fleet)
	if before.Revision != fleet.Revision {
		n.opts.Log.Info("configuration in force", "revision", config.StoreRevision(fleet.Revision), "era", config.EraOf(fleet.Revision))
	}
}

func (n *Node) recordZoneChanges(now time.Time, before, after *config.Fleet) {
	for id, z := range after.Zones {
		old := before.Zones[id]
		if old == nil || old.Out == z.Out {
			continue
		}
		what := "in to out"
		if old.Out {
			what = "out to in"
		}
		n.events.Add(now, explain.SubjectZone, z.Name, what, "set by operators")
	}
}

// updateOwnZone sets the zone ID in the process's own record from the
// configuration.
func (n *Node) updateOwnZone(now time.Time) {
	z := n.config.Load().ByZone[n.opts.Zone]
	if z == nil || z.ID == n.core.Self().Zone {
		return
	}
	n.core.Update(now, func(r *membership.Record) { r.Zone = z.ID })
}

func (n *Node) recordMemberChange(now time.Time, c membership.Change) {
	subject := explain.SubjectProcess
	if c.Record.Role == membership.RoleAgent {
		subject = explain.SubjectUpstream
	}
	what := c.Before.String() + " to " + c.Record.State.String()
	n.events.Add(now, subject, c.Record.Addr.String(), what, string(c.Cause))
	n.metrics.changes.WithLabelValues(c.Record.State.String(), string(c.Cause)).Inc()
}

func (n *Node) sendMessage(s membership.Send) {
	keys := n.config.Load().Keys
	if keys == nil {
		n.metrics.dropped.WithLabelValues("no-keys-to-send").Inc()
		return
	}
	b, err := membership.Seal(keys, s.Message)
	if err != nil {
		n.metrics.dropped.WithLabelValues("too-large").Inc()
		return
	}
	if _, err := n.conn.WriteTo(b, net.UDPAddrFromAddrPort(s.To)); err != nil {
		n.metrics.dropped.WithLabelValues("send-failed").Inc()
		return
	}
	n.bytesOut.Add(uint64(len(b)))
	n.metrics.messages.WithLabelValues("out", s.Message.Kind.String()).Inc()
}

// readMessages receives datagrams, verifies them and passes the messages to the
// loop.
func (n *Node) readMessages(ctx context.Context) error {
	b := make([]byte, readBufferBytes)
	for {
		size, _, err := n.conn.ReadFrom(b)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.metrics.dropped.WithLabelValues("read-failed").Inc()
			continue
		}
		n.bytesIn.Add(uint64(size))
		m := n.verifyMessage(b[:size])
		if m == nil {
			continue
		}
		select {
		case n.inbox <- m:
		default:
			n.metrics.dropped.WithLabelValues("inbox-full").Inc()
		}
	}
}

func (n *Node) verifyMessage(b []byte) *membership.Message {
	keys := n.config.Load().Keys
	if keys == nil {
		n.metrics.dropped.WithLabelValues("no-keys").Inc()
		return nil
	}
	m, err := membership.Open(keys, b)
	if err != nil {
		n.metrics.dropped.WithLabelValues(dropReason(err)).Inc()
		return nil
	}
	n.metrics.messages.WithLabelValues("in", m.Kind.String()).Inc()
	return m
}

func dropReason(err error) string {
	switch {
	case errors.Is(err, membership.ErrUnknownKey):
		return "unknown-key"
	case errors.Is(err, membership.ErrBadMAC):
		return "bad-mac"
	}
	return "malformed"
}
