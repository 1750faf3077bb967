package membership

import "time"

// Bounds of suspicion.
const (
	probeResultWindow       = 32          // probe results from which likelyPartitioned is derived
	heldSuspicionFactor     = 2           // multiple of SuspicionTimeout after which a suspect is probed before its death
	maxDeathsPerCheck       = 10          // dead declarations per check of the suspects
	massSuspicionMin        = 2           // number of suspects that is never a mass suspicion
	massSuspicionDivisor    = 8           // more than 1/8 of the members suspect at once is a mass suspicion
	massSuspicionHold       = time.Minute // after a mass suspicion, while the tables of a healed partition are repaired
	partitionedFailureShare = 0.75        // share of failed probes above which likelyPartitioned holds
	massSuspicionDeathRate  = 0.1         // dead declarations per second of all entries together in a mass suspicion
)

func (c *Core) recordProbe(ok bool) {
	i := c.probes.recorded % probeResultWindow
	if c.probes.recorded >= probeResultWindow && !c.probes.results[i] {
		c.probes.failures--
	}
	c.probes.results[i] = ok
	c.probes.recorded++
	if !ok {
		c.probes.failures++
	}
}

// likelyPartitioned reports whether so many of the last own probes failed that
// this process itself is more likely partitioned than all others dead.
func (c *Core) likelyPartitioned() bool {
	return float64(c.probes.failures) > partitionedFailureShare*float64(min(c.probes.recorded, probeResultWindow))
}

// massSuspicion reports whether, now or within massSuspicionHold, so many members
// were suspect at once that a partition is more likely than their deaths, or
// this process itself was likely partitioned.
func (c *Core) massSuspicion(now time.Time) bool {
	many := len(c.table.suspects) > max(massSuspicionMin, c.table.alive()/massSuspicionDivisor)
	if many || c.likelyPartitioned() {
		c.probes.massSuspicionUntil = now.Add(massSuspicionHold)
	}
	return now.Before(c.probes.massSuspicionUntil)
}

// checkSuspects declares dead the members whose suspicion was not refuted in
// time. In a mass suspicion most stay suspect: routing avoids them, but can
// still use them when no others are left. Only a few are then declared dead, at
// a rate shared by all entries.
func (c *Core) checkSuspects(now time.Time) {
	elapsed := now.Sub(c.probes.lastSuspectCheck)
	c.probes.lastSuspectCheck = now
	if len(c.table.suspects) == 0 {
		return
	}
	limit := maxDeathsPerCheck
	if c.massSuspicion(now) {
		share := massSuspicionDeathRate * elapsed.Seconds() / float64(1+len(c.table.entries))
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

// endSuspicion declares a suspect dead. One that was suspect for longer than
// usual is probed first: it may have refuted the suspicion without this process
// having received that.
func (c *Core) endSuspicion(now time.Time, m *member) {
	if now.Sub(m.changedAt) < heldSuspicionFactor*c.timing.SuspicionTimeout {
		c.declareDead(now, m)
		return
	}
	if !now.Before(m.finalProbeUntil) {
		m.finalProbeUntil = now.Add(heldSuspicionFactor * c.timing.SuspicionTimeout)
		c.ping(now, m)
	}
}

func (c *Core) declareDead(now time.Time, m *member) {
	dead := m.Record
	dead.State = StateDead
	c.storeAndSpread(now, &dead, m.State, CauseSuspicion)
}
