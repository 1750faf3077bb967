package membership

import (
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Bounds of the reports that the known objects were verified against the store.
const (
	// verifiedFanout is the number of entries to which a report is sent. If each of
	// 4,900 entries sends it to five, all but 0.7% receive it the first time.
	verifiedFanout = 5
	// verifiedBroadcastMax is the number of known entries up to which the reader of
	// the store sends a report to every entry itself.
	verifiedBroadcastMax = 24
	// verifiedMinGain is the shortest time by which a report must be newer than the
	// last one to be forwarded.
	verifiedMinGain = 400 * time.Millisecond
	// verifiedMaxAge is the time since the last verification up to which an entry
	// reports an object as deleted from the store. After a longer time entries read
	// the store themselves.
	verifiedMaxAge = 3 * time.Second
)

// verifiedState is the last verification of the known objects against the store.
type verifiedState struct {
	at time.Time // local time of the verification
	// revision is the store's revision at that time. An object of a lower
	// revision that is unknown here has been deleted.
	revision uint64
}

// VerifiedAt returns the last time at which the known objects were verified as the
// store's latest; zero when there is none.
func (c *Core) VerifiedAt() time.Time { return c.verified.at }

// MarkVerified records that the known objects were verified as the store's latest at
// the time and the revision, and reports it to other entries.
func (c *Core) MarkVerified(now, at time.Time, revision uint64) {
	c.observeEra(now, config.EraOf(revision))
	if c.self.Role != RoleEntry || !at.After(c.verified.at) {
		return
	}
	c.verified.at = at
	c.verified.revision = max(c.verified.revision, revision)
	if c.left {
		return
	}
	peers := c.table.entries
	if len(peers) > verifiedBroadcastMax {
		peers = c.randomEntries(verifiedFanout, netip.AddrPort{})
	}
	c.sendVerified(now, peers)
}

func (c *Core) sendVerified(now time.Time, peers []*member) {
	age := uint32(now.Sub(c.verified.at).Milliseconds())
	for _, p := range peers {
		c.send(p.Control, &Message{Kind: KindVerified, Age: age, Seq: c.verified.revision, ConfigHash: c.objects.sum})
	}
}

// receiveVerified applies the sender's verification when both have the same objects,
// and forwards it in fleets too large for a broadcast.
func (c *Core) receiveVerified(now time.Time, m *Message) {
	c.observeEra(now, config.EraOf(m.Seq))
	if m.ConfigHash != c.objects.sum {
		return
	}
	at := now.Add(-time.Duration(m.Age) * time.Millisecond)
	gain := at.Sub(c.verified.at)
	if gain <= 0 {
		return
	}
	c.verified.at = at
	c.verified.revision = max(c.verified.revision, m.Seq)
	if gain >= verifiedMinGain && len(c.table.entries) > verifiedBroadcastMax {
		c.sendVerified(now, c.randomEntries(verifiedFanout, m.From))
	}
}

// VerifiedRevision returns the highest store revision at which the known objects were
// verified as the store's latest.
func (c *Core) VerifiedRevision() uint64 { return c.verified.revision }

// knownZonesOut lists the zones that are out of service in the agent's objects.
// The agent reports them because entries that all restarted have no record of a
// zone that came back in the meantime.
func (c *Core) knownZonesOut() []ObjectRef {
	var out []ObjectRef
	for i := range c.objects.buckets {
		for id, o := range c.objects.buckets[i] {
			if id.Kind == config.KindZoneOut && !o.latest.Deleted {
				out = append(out, refOf(&o.latest))
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
		_, awaited := c.awaitedRewrite(now, s.Revision)
		switch {
		case known != nil:
			if known.latest.Supersedes(s.object()) {
				out = append(out, known.latest)
			}
		case awaited:
		case now.Sub(c.verified.at) <= verifiedMaxAge && c.verified.revision > s.Revision:
			out = append(out, config.Object{Kind: s.Kind, Name: s.Name, Revision: c.verified.revision, Deleted: true})
		}
	}
	return out
}
