package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// logRegionCut parts the regions for a while and prints what an entry spends
// and whom it still uses while they are parted and after they meet again.
func (s *sim) logRegionCut(t *testing.T) {
	const parted, healed = 2 * time.Minute, 2 * time.Minute
	region := func(n *simNode) uint8 { return n.core.self.Zone % 2 }
	s.cut = func(from, to *simNode) bool { return region(from) != region(to) }
	f, _ := s.measure(parted)
	t.Logf("  regions parted for %v: entry %s; used of own region %.2f%%, of the other %.2f%%",
		parted, f.perSecond(parted), s.used(true), s.used(false))
	s.cut = nil
	least, whole := 100.0, time.Duration(0)
	for _, n := range s.nodes {
		n.in, n.out, n.cpu = 0, 0, 0
	}
	began := s.now
	var first roleFigures
	for s.now.Sub(began) < healed {
		f, _ := s.measure(time.Second)
		if f.in+f.out > first.in+first.out {
			first = f
		}
		least = min(least, s.used(true))
		if whole == 0 && s.used(false) == 100 {
			whole = s.now.Sub(began)
		}
	}
	wholeAfter := "not " + healed.String()
	if whole > 0 {
		wholeAfter = whole.String()
	}
	t.Logf("  healed: dearest second of an entry %s; used of own region at least %.2f%%; other region whole after %s",
		first.perSecond(time.Second), least, wholeAfter)
}

// used returns the share of the live members of the own or the other region
// that entries use, in percent.
func (s *sim) used(own bool) float64 {
	var alive [slopeZones + 1]int
	for _, n := range s.nodes {
		if n.up {
			alive[n.core.self.Zone]++
		}
	}
	used, all := 0, 0
	for _, n := range s.nodes {
		if !n.up || n.core.self.Role != RoleEntry {
			continue
		}
		for zone := uint8(1); zone <= slopeZones; zone++ {
			if (zone%2 == n.core.self.Zone%2) != own {
				continue
			}
			used += n.core.usable(zone)
			all += alive[zone]
			if zone == n.core.self.Zone {
				all-- // itself
			}
		}
	}
	return 100 * float64(used) / float64(all)
}

// logZoneLoss stops all processes of one zone and prints what follows.
func (s *sim) logZoneLoss(t *testing.T) {
	lost := 0
	for _, n := range s.nodes {
		if n.core.self.Zone == 1 && n.up {
			n.up = false
			lost++
		}
	}
	for _, n := range s.nodes {
		n.in, n.out = 0, 0
	}
	most := s.zoneTraffic(lost)
	t.Logf("  zone of %d members lost: %s", lost, most)
}

// zoneTraffic follows the first seconds after the loss of zone 1: the share of
// lost members that entries still use, and what that costs an entry.
func (s *sim) zoneTraffic(lost int) string {
	const period = 10 * time.Second
	var shares []string
	for second := range int(period / time.Second) {
		s.run(time.Second)
		used, entries := 0, 0
		for _, n := range s.nodes {
			if n.up && n.core.self.Role == RoleEntry {
				used += n.core.usable(1)
				entries++
			}
		}
		if second%2 == 1 {
			shares = append(shares, fmt.Sprintf("%.2f%%", 100*float64(used)/float64(entries*lost)))
		}
	}
	most, sum, count := 0, 0, 0
	for _, n := range s.nodes {
		if n.up && n.core.self.Role == RoleEntry {
			most = max(most, n.in+n.out)
			sum += n.in + n.out
			count++
		}
	}
	return fmt.Sprintf("still used after 2, 4, 6, 8, 10 s: %s; entry mean %.0f B/s, most %.0f B/s in these 10 s",
		strings.Join(shares, " "), float64(sum)/float64(count)/period.Seconds(), float64(most)/period.Seconds())
}

// usable counts the members of a zone that are not avoided.
func (c *Core) usable(zone uint8) int {
	used := 0
	for _, m := range slices.Concat(c.table.entries, c.table.agents) {
		if m.Zone == zone && m.State < StateSuspect {
			used++
		}
	}
	return used
}
