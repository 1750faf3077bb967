package membership

import (
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Bounds of spreading how fresh the objects are.
const (
	// freshFanout is the number of entries that are told: with five each of
	// 4,900 entries all but 0.7% hear it at the first try.
	freshFanout = 5
	// freshWithin is the size of a fleet in which the reader of the store tells
	// every entry itself.
	freshWithin = 24
	// freshStep is the gain below which a report is not passed on.
	freshStep = 400 * time.Millisecond
	// freshEnough is the age up to which an entry says that an object is not in
	// the store: above it entries read the store themselves.
	freshEnough = 3 * time.Second
)

// freshState is what is known of the age of the objects.
type freshState struct {
	at time.Time // local time at which the objects were the store's latest
	// revision is that of the store at which they were. What is not known here
	// and is of a lower revision has been deleted.
	revision uint64
}

// FreshAt returns the last time at which the known objects were those of the
// store; zero when that was never known.
func (c *Core) FreshAt() time.Time { return c.fresh.at }

// MarkFresh notes that the known objects were those of the store at the time at
// and at the revision, and tells other entries.
func (c *Core) MarkFresh(now, at time.Time, revision uint64) {
	if c.self.Role != RoleEntry || !at.After(c.fresh.at) {
		return
	}
	c.fresh.at = at
	c.fresh.revision = max(c.fresh.revision, revision)
	if c.left {
		return
	}
	peers := c.table.entries
	if len(peers) > freshWithin {
		peers = c.randomEntries(freshFanout, netip.AddrPort{})
	}
	c.tellFresh(now, peers)
}

func (c *Core) tellFresh(now time.Time, peers []*member) {
	age := uint32(now.Sub(c.fresh.at).Milliseconds())
	for _, p := range peers {
		c.send(p.Control, &Message{Kind: KindFreshness, Age: age, Seq: c.fresh.revision, ConfigHash: c.objects.sum})
	}
}

// receiveFresh takes over how fresh the objects of the sender are when the own
// ones are the same.
func (c *Core) receiveFresh(now time.Time, m *Message) {
	if m.ConfigHash != c.objects.sum {
		return
	}
	at := now.Add(-time.Duration(m.Age) * time.Millisecond)
	gain := at.Sub(c.fresh.at)
	if gain <= 0 {
		return
	}
	c.fresh.at = at
	c.fresh.revision = max(c.fresh.revision, m.Seq)
	if gain >= freshStep && len(c.table.entries) > freshWithin {
		c.tellFresh(now, c.randomEntries(freshFanout, m.From))
	}
}

// FreshRevision returns the revision of the store that Fresh is about.
func (c *Core) FreshRevision() uint64 { return c.fresh.revision }

// heldZonesOut lists the zones that an agent takes for out. Entries that all
// restarted know nothing of one that has come back since.
func (c *Core) heldZonesOut() []ObjectRef {
	var out []ObjectRef
	for i := range c.objects.buckets {
		for id, o := range c.objects.buckets[i] {
			if id.Kind == config.KindZoneOut && !o.latest.Deleted {
				out = append(out, ObjectRef{Kind: id.Kind, Name: id.Name, Revision: o.latest.Revision})
			}
		}
	}
	return out
}

// deletedSince returns those of an agent's objects that are newer here, or that
// the store no longer has.
func (c *Core) deletedSince(now time.Time, held []ObjectRef) []config.Object {
	var out []config.Object
	for _, s := range held {
		known := c.objects.get(s.ID())
		switch {
		case known != nil:
			if known.latest.Revision > s.Revision {
				out = append(out, known.latest)
			}
		case now.Sub(c.fresh.at) <= freshEnough && c.fresh.revision > s.Revision:
			out = append(out, config.Object{Kind: s.Kind, Name: s.Name, Revision: c.fresh.revision, Deleted: true})
		}
	}
	return out
}
