package membership

import (
	"time"

	"crocusnotch/internal/config"
)

// mergeRecord keeps a record that supersedes the known one and passes it on.
// It returns the known record when that one supersedes the given.
func (c *Core) mergeRecord(now time.Time, r *Record, cause Cause) (newer *Record) {
	if r.Addr == c.self.Addr {
		c.refute(now, r)
		return nil
	}
	if !c.keeps(r) {
		return nil
	}
	known := c.table.get(r.Addr)
	if known == nil {
		if !c.table.forgotten.admits(r) {
			return nil
		}
		c.insert(now, r, 0, cause)
		return nil
	}
	if r.State == StateDead && r.Incarnation == known.Incarnation && known.Version > r.Version && !known.State.Final() {
		c.doubt(r) // it refuted that suspicion, but not everybody has heard
		return nil
	}
	if r.Supersedes(&known.Record) {
		c.insert(now, r, known.State, cause)
		return nil
	}
	if known.Record.Supersedes(r) {
		return &known.Record
	}
	return nil
}

// insert keeps a record and spreads it. Those of a snapshot were spread by the
// entries that heard them first; what a peer lacks, a repair brings.
func (c *Core) insert(now time.Time, r *Record, before State, cause Cause) {
	c.keep(now, r, before, cause)
	if c.self.Role == RoleEntry && cause != CauseSnapshot {
		c.spreadRecord(r)
	}
}

func (c *Core) keep(now time.Time, r *Record, before State, cause Cause) {
	c.table.put(now, r)
	c.out.MembersChanged = true
	if before != r.State {
		c.out.Changes = append(c.out.Changes, Change{Record: *r, Before: before, Cause: cause})
	}
}

// keeps reports whether this process keeps the record: entries keep all,
// agents some entries and the agents of their own service.
func (c *Core) keeps(r *Record) bool {
	if c.self.Role == RoleEntry {
		return true
	}
	if r.Role == RoleAgent {
		return r.Service == c.self.Service && r.Service != 0
	}
	return c.table.get(r.Addr) != nil || !r.State.Final() && len(c.table.entries) < maxKnownEntries
}

// refute answers a report about the own process that is wrong: a suspicion by
// a higher version, a final state by a higher incarnation.
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

// mergeObject keeps an object of a higher revision and passes it on at once.
func (c *Core) mergeObject(now time.Time, in *config.Object) {
	if in.Kind == config.KindRoster {
		return
	}
	kept := c.objects.adopt(in)
	if kept == nil {
		return
	}
	c.out.ObjectsChanged = true
	if c.self.Role == RoleEntry {
		c.pushObject(kept)
	}
}

// Members returns the known records that are not final, the own one excepted.
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

// Departed returns the final records that became so, or were learned, after the
// time since.
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

// ConfigHash condenses the identities and revisions of all known objects.
func (c *Core) ConfigHash() uint64 { return c.objects.sum }
