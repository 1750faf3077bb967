package membership

import (
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Bounds of freshness reports.
const (
	// freshFanout is the number of entries to which a report is sent. If each of
	// 4,900 entries sends it to five, all but 0.7% receive it the first time.
	freshFanout = 5
	// freshBroadcastMax is the number of known entries up to which the reader of
	// the store sends a report to every entry itself.
	freshBroadcastMax = 24
	// freshMinGain is the gain below which a report is not forwarded.
	freshMinGain = 400 * time.Millisecond
	// freshMaxAge is the age up to which an entry reports an object as deleted
	// from the store: above it entries read the store themselves.
	freshMaxAge = 3 * time.Second
)

// freshState is the freshness of the known objects.
type freshState struct {
	at time.Time // local time at which the known objects were the store's latest
	// revision is the store's revision at that time. An object of a lower
	// revision that is unknown here has been deleted.
	revision uint64
}

// VerifiedAt returns the last time at which the known objects are confirmed to have
// been the store's latest; zero when there is none.
func (c *Core) VerifiedAt() time.Time { return c.fresh.at }

// MarkVerified records that the known objects were the store's latest at the time at
// and at the revision, and reports it to other entries.
func (c *Core) MarkVerified(now, at time.Time, revision uint64) {
	if c.self.Role != RoleEntry || !at.After(c.fresh.at) {
		return
	}
	c.fresh.at = at
	c.fresh.revision = max(c.fresh.revision, revision)
	if c.left {
		return
	}
	peers := c.table.entries
	if len(peers) > freshBroadcastMax {
		peers = c.randomEntries(freshFanout, netip.AddrPort{})
	}
	c.sendFreshness(now, peers)
}

func (c *Core) sendFreshness(now time.Time, peers []*member) {
	age := uint32(now.Sub(c.fresh.at).Milliseconds())
	for _, p := range peers {
		c.send(p.Control, &Message{Kind: KindVerified, Age: age, Seq: c.fresh.revision, ConfigHash: c.objects.sum})
	}
}

// receiveFreshness adopts the sender's freshness when both have the same objects,
// and forwards it in fleets too large for a broadcast.
func (c *Core) receiveFreshness(now time.Time, m *Message) {
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
	if gain >= freshMinGain && len(c.table.entries) > freshBroadcastMax {
		c.sendFreshness(now, c.randomEntries(freshFanout, m.From))
	}
}

// VerifiedRevision returns the highest store revision at which the known objects are
// confirmed to have been the store's latest.
func (c *Core) VerifiedRevision() uint64 { return c.fresh.revision }

// knownZonesOut lists the zones that are out of service in the agent's objects.
// The agent reports them because entries that all restarted have no record of a
// zone that came back in the meantime.
func (c *Core) knownZonesOut() []ObjectRef {
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

// newerOrDeleted returns the newer revisions of an agent's objects, and a
// deletion for each one that the store no longer has.
func (c *Core) newerOrDeleted(now time.Time, held []ObjectRef) []config.Object {
	var out []config.Object
	for _, s := range held {
		known := c.objects.get(s.ID())
		switch {
		case known != nil:
			if known.latest.Revision > s.Revision {
				out = append(out, known.latest)
			}
		case now.Sub(c.fresh.at) <= freshMaxAge && c.fresh.revision > s.Revision:
			out = append(out, config.Object{Kind: s.Kind, Name: s.Name, Revision: c.fresh.revision, Deleted: true})
		}
	}
	return out
}
