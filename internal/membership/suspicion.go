package membership

import "time"

// Bounds of suspicion.
const (
	verdictWindow  = 32          // last probe results that tell whether this process itself is cut off
	heldSuspicions = 2           // times the usual length
	deathsPerCheck = 10          // dead declarations for each check of the suspects
	massLeast      = 2           // suspects that are never many
	massShare      = 8           // one in so many members suspect at once is many
	massHold       = time.Minute // after many were suspect, while a healed cut is repaired
	cutOffShare    = 0.75        // of the last probes failed
	massDeathRate  = 0.1         // dead declarations a second of all entries together while many are suspect
)

func (c *Core) recordProbe(ok bool) {
	i := c.probes.recorded % verdictWindow
	if c.probes.recorded >= verdictWindow && !c.probes.results[i] {
		c.probes.failures--
	}
	c.probes.results[i] = ok
	c.probes.recorded++
	if !ok {
		c.probes.failures++
	}
}

// cutOff reports whether most of the own probes failed lately, so that this
// process itself is more likely to be cut off than all the others to be dead.
func (c *Core) cutOff() bool {
	return float64(c.probes.failures) > cutOffShare*float64(min(c.probes.recorded, verdictWindow))
}

// massSuspicion reports whether so many members are suspect at once, or were a
// short time ago, that a cut is more likely than their deaths, or that this
// process itself is cut off.
func (c *Core) massSuspicion(now time.Time) bool {
	many := len(c.table.suspects) > max(massLeast, c.table.alive()/massShare)
	if many || c.cutOff() {
		c.probes.massEnds = now.Add(massHold)
	}
	return now.Before(c.probes.massEnds)
}

// checkSuspects declares dead the members whose suspicion was not refuted in
// time. While many are suspect they stay so: routing avoids them, but still
// has them when no others are left. Only few are then declared dead, at a rate
// that all entries share.
func (c *Core) checkSuspects(now time.Time) {
	elapsed := now.Sub(c.probes.checked)
	c.probes.checked = now
	if len(c.table.suspects) == 0 {
		return
	}
	limit := deathsPerCheck
	if c.massSuspicion(now) {
		share := massDeathRate * elapsed.Seconds() / float64(1+len(c.table.entries))
		if c.rand.Float64() >= share {
			return
		}
		limit = 1
	}
	for _, addr := range sortedAddrs(c.table.suspects) {
		m := c.table.suspects[addr]
		if now.Sub(m.changedAt) < c.timing.SuspicionTimeout {
			continue
		}
		c.endSuspicion(now, m)
		limit--
		if limit == 0 {
			return
		}
	}
}

// endSuspicion declares a suspect dead. One that was held longer than usual may
// have refuted meanwhile without this process having heard, so it is probed
// first.
func (c *Core) endSuspicion(now time.Time, m *member) {
	if now.Sub(m.changedAt) < heldSuspicions*c.timing.SuspicionTimeout {
		c.declareDead(now, m)
		return
	}
	if !now.Before(m.judged) {
		m.judged = now.Add(heldSuspicions * c.timing.SuspicionTimeout)
		c.ping(now, m)
	}
}

func (c *Core) declareDead(now time.Time, m *member) {
	dead := m.Record
	dead.State = StateDead
	c.insert(now, &dead, m.State, CauseSuspicion)
}
