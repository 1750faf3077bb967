package membership

import (
	"time"

	"crocusnotch/internal/config"
)

// mergeRecord stores a record that supersedes the known one and, on entries,
// spreads it. It returns the known record if that supersedes r, and nil otherwise.
func (c *Core) mergeRecord(now time.Time, r *Record, cause Cause) (newer *Record) {
	if r.Addr == c.self.Addr {
		c.refute(now, r)
		return nil
	}
	if !c.shouldStore(r) {
		return nil
	}
	known := c.table.get(r.Addr)
	if known == nil {
		if !c.table.minIncarnations.accepts(r) {
			return nil
		}
		c.storeAndSpread(now, r, 0, cause)
		return nil
	}
	if r.State == StateDead && r.Incarnation == known.Incarnation && known.Version > r.Version && !known.State.Final() {
		c.queueVerification(r) // the member refuted that suspicion, but not every entry received it
		return nil
	}
	if r.Supersedes(&known.Record) {
		c.storeAndSpread(now, r, known.State, cause)
		return nil
	}
	if known.Record.Supersedes(r) {
		return &known.Record
	}
	return nil
}

// storeAndSpread stores a record and, on entries, spreads it. Records from a
// snapshot were already spread by the entries that received them first; repair
// sends a peer those that it lacks.
func (c *Core) storeAndSpread(now time.Time, r *Record, before State, cause Cause) {
	c.store(now, r, before, cause)
	if c.self.Role == RoleEntry && cause != CauseSnapshot {
		c.spreadRecord(r)
	}
}

func (c *Core) store(now time.Time, r *Record, before State, cause Cause) {
	c.table.put(now, r)
	c.out.MembersChanged = true
	if before != r.State {
		c.out.Changes = append(c.out.Changes, Change{Record: *r, Before: before, Cause: cause})
	}
}

// shouldStore reports whether this process stores the record: entries store all,
// agents a bounded number of entries and the agents of their own service.
func (c *Core) shouldStore(r *Record) bool {
	if c.self.Role == RoleEntry {
		return true
	}
	if r.Role == RoleAgent {
		return r.Service == c.self.Service && r.Service != 0
	}
	return c.table.get(r.Addr) != nil || !r.State.Final() && len(c.table.entries) < maxKnownEntries
}

// refute overrides a wrong report about the own process: a suspicion by a higher
// version, a final state by a higher incarnation.
func (c *Core) refute(now time.Time, r *Record) {
	if c.left || !r.Supersedes(&c.self) || *r == c.self {
		return
	}
	if r.State.Final() || r.Incarnation > c.self.Incarnation {
		c.self.Incarnation = max(r.Incarnation+1, uint64(now.UnixMilli()))
		c.self.Version = 1
	} else {
		c.self.Version = r.Version + 1
	}
	change := Change{Record: c.self, Before: r.State, Cause: CauseRefuted}
	c.out.Changes = append(c.out.Changes, change)
	c.announce(now)
}

// mergeObject stores an object that supersedes the known one and, on entries,
// forwards it at once.
func (c *Core) mergeObject(now time.Time, in *config.Object) {
	if in.Kind == config.KindRoster {
		return
	}
	c.observeEra(now, config.EraOf(in.Revision))
	if _, returned := c.returnedByRestore(now, in); returned {
		return
	}
	stored := c.objects.putIfNewer(in)
	if stored == nil {
		return
	}
	c.out.ObjectsChanged = true
	if c.self.Role == RoleEntry {
		c.pushObject(stored)
	}
}

// Members returns the known records that are not final, except the own one.
func (c *Core) Members() []Record {
	out := make([]Record, 0, c.table.alive())
	for _, m := range c.table.entries {
		out = append(out, m.Record)
	}
	for _, m := range c.table.agents {
		out = append(out, m.Record)
	}
	return out
}

// Departed returns the records that became final, or were received as final,
// after the time since.
func (c *Core) Departed(since time.Time) []Record {
	var out []Record
	for i := range c.table.buckets {
		for _, m := range c.table.buckets[i] {
			if m.State.Final() && m.changedAt.After(since) {
				out = append(out, m.Record)
			}
		}
	}
	return out
}

// Objects returns the objects in force and the problems of the others.
func (c *Core) Objects() ([]config.Object, []config.Problem) { return c.objects.inForce() }

// ConfigHash returns a hash of the identities and revisions of all known objects.
func (c *Core) ConfigHash() uint64 { return c.objects.sum }
