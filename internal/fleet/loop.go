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

// departedFor is how long a member that left or was declared dead is reported
// as departed: a restart takes a second or two.
const departedFor = 8 * time.Second

// loop owns the core: it passes events to it and does what the core asks for.
func (n *Node) loop(ctx context.Context) error {
	tick := time.NewTimer(n.core.Period(time.Now()))
	defer tick.Stop()
	defer n.end()
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
			n.lonely.Store(n.core.Isolated(now))
		}
		n.act(time.Now())
		n.publishFresh()
	}
}

// act does what the core asks for.
func (n *Node) act(now time.Time) {
	out := n.core.TakeOutput()
	n.membersDirty = n.membersDirty || out.MembersChanged
	n.objectsDirty = n.objectsDirty || out.ObjectsChanged
	self := n.core.Self()
	n.self.Store(&self)
	n.publish(now) // first, because sending needs the keys
	for _, s := range out.Sends {
		n.sendMessage(s)
	}
	for _, f := range out.Fetches {
		n.startFetch(f)
	}
	for _, c := range out.Changes {
		n.recordChange(now, c)
	}
}

// startFetch gets large objects in the background. Many peers announce the same
// object, which is fetched from one of them at a time.
func (n *Node) startFetch(f membership.Fetch) {
	f.IDs = slices.DeleteFunc(f.IDs, func(id config.ID) bool { return n.fetching[id] })
	if len(f.IDs) == 0 {
		return
	}
	for _, id := range f.IDs {
		n.fetching[id] = true
	}
	go func() {
		n.fetch(f)
		n.command(func(time.Time) {
			for _, id := range f.IDs {
				delete(n.fetching, id)
			}
		})
	}()
}

// publish makes changes visible to the rest of the process, at a bounded rate:
// copying all records and objects costs more than merging one.
func (n *Node) publish(now time.Time) {
	if !n.membersDirty && !n.objectsDirty || now.Sub(n.published) < n.publishPeriod(now) {
		return
	}
	if n.objectsDirty {
		n.objectsDirty = false
		n.rebuildConfig(now)
		n.adoptZone(now)
	}
	if n.membersDirty {
		n.membersDirty = false
		members := n.core.Members()
		n.members.Store(&members)
		departed := n.core.Departed(now.Add(-departedFor))
		n.departed.Store(&departed)
	}
	n.published = now
	n.notify()
}

// publishPeriod is the shortest time between two publications.
func (n *Node) publishPeriod(now time.Time) time.Duration {
	return min(publishPeriod, n.core.Period(now)/2)
}

// withKeys adds the fixed keys to a configuration.
func (n *Node) withKeys(fleet *config.Fleet) *config.Fleet {
	if n.opts.Keys != nil {
		fleet.Keys = n.opts.Keys
	}
	return fleet
}

// publishFresh shows how fresh the objects are, once they are in force.
func (n *Node) publishFresh() {
	if n.objectsDirty {
		return
	}
	at := n.core.FreshAt()
	if at.IsZero() {
		n.fresh.Store(0)
		return
	}
	n.fresh.Store(max(1, int64(at.Sub(n.started))))
}

// rebuildConfig puts the valid objects in force.
func (n *Node) rebuildConfig(now time.Time) {
	valid, problems := n.core.Objects()
	fleet, more := n.builder.Build(valid)
	problems = append(problems, more...)
	before := n.config.Swap(n.withKeys(fleet))
	known := n.problems.Swap(&problems)
	for _, p := range problems {
		if !slices.ContainsFunc(*known, func(k config.Problem) bool { return k.ID == p.ID && k.Revision == p.Revision }) {
			n.metrics.configRefused.Inc()
			n.events.Add(now, explain.SubjectConfig, p.ID.Name, "object refused", p.Err.Error())
			n.opts.Log.Warn("configuration object refused", "kind", p.ID.Kind, "name", p.ID.Name, "revision", p.Revision, "err", p.Err)
		}
	}
	n.explainZones(now, before, fleet)
	if before.Revision != fleet.Revision {
		n.opts.Log.Info("configuration in force", "revision", fleet.Revision)
	}
}

func (n *Node) explainZones(now time.Time, before, after *config.Fleet) {
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

// adoptZone puts the zone's configured ID into the own record.
func (n *Node) adoptZone(now time.Time) {
	z := n.config.Load().ByZone[n.opts.Zone]
	if z == nil || z.ID == n.core.Self().Zone {
		return
	}
	n.core.Update(now, func(r *membership.Record) { r.Zone = z.ID })
}

func (n *Node) recordChange(now time.Time, c membership.Change) {
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

// read passes verified messages to the loop.
func (n *Node) read(ctx context.Context) error {
	b := make([]byte, socketBufferLen)
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
		m := n.openMessage(b[:size])
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

func (n *Node) openMessage(b []byte) *membership.Message {
	keys := n.config.Load().Keys
	if keys == nil {
		n.metrics.dropped.WithLabelValues("no-keys").Inc()
		return nil
	}
	m, err := membership.Open(keys, b)
	if err != nil {
		n.metrics.dropped.WithLabelValues(faultLabel(err)).Inc()
		return nil
	}
	n.metrics.messages.WithLabelValues("in", m.Kind.String()).Inc()
	return m
}

func faultLabel(err error) string {
	switch {
	case errors.Is(err, membership.ErrUnknownKey):
		return "unknown-key"
	case errors.Is(err, membership.ErrBadMAC):
		return "bad-mac"
	}
	return "malformed"
}
