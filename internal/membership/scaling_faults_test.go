package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// logRegionPartition partitions the regions for a while and logs an entry's costs
// and the share of members that it uses, during the partition and after it.
func (s *sim) logRegionPartition(t *testing.T) {
	const partitioned, healed = 2 * time.Minute, 2 * time.Minute
	region := func(n *simNode) uint8 { return n.core.self.Zone % 2 }
	s.blocked = func(from, to *simNode) bool { return region(from) != region(to) }
	f, _ := s.measure(partitioned)
	t.Logf("  regions partitioned for %v: entry %s; used of own region %.2f%%, of the other %.2f%%",
		partitioned, f.perSecond(partitioned), s.usedShare(true), s.usedShare(false))
	s.blocked = nil
	lowestShare, restoredAfter := 100.0, time.Duration(0)
	for _, n := range s.nodes {
		n.bytesIn, n.bytesOut, n.cpu = 0, 0, 0
	}
	began := s.now
	var highest roleCosts
	for s.now.Sub(began) < healed {
		f, _ := s.measure(time.Second)
		if f.bytesIn+f.bytesOut > highest.bytesIn+highest.bytesOut {
			highest = f
		}
		lowestShare = min(lowestShare, s.usedShare(true))
		if restoredAfter == 0 && s.usedShare(false) == 100 {
			restoredAfter = s.now.Sub(began)
		}
	}
	restoredText := "not " + healed.String()
	if restoredAfter > 0 {
		restoredText = restoredAfter.String()
	}
	t.Logf("  healed: most expensive second of an entry %s; used of own region at least %.2f%%; other region fully used after %s",
		highest.perSecond(time.Second), lowestShare, restoredText)
}

// usedShare returns the percentage of the running members of the own or the other
// region that entries use.
func (s *sim) usedShare(own bool) float64 {
	var alive [scalingZones + 1]int
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
		for zone := uint8(1); zone <= scalingZones; zone++ {
			if (zone%2 == n.core.self.Zone%2) != own {
				continue
			}
			used += n.core.usableMembers(zone)
			all += alive[zone]
			if zone == n.core.self.Zone {
				all-- // itself
			}
		}
	}
	return 100 * float64(used) / float64(all)
}

// logZoneLoss stops all processes of one zone and logs the effects.
func (s *sim) logZoneLoss(t *testing.T) {
	lost := 0
	for _, n := range s.nodes {
		if n.core.self.Zone == 1 && n.up {
			n.up = false
			lost++
		}
	}
	for _, n := range s.nodes {
		n.bytesIn, n.bytesOut = 0, 0
	}
	most := s.measureZoneLoss(lost)
	t.Logf("  zone of %d members stopped: %s", lost, most)
}

// measureZoneLoss runs the first seconds after the loss of zone 1. It returns the
// share of lost members that entries still use, and the traffic of an entry.
func (s *sim) measureZoneLoss(lost int) string {
	const period = 10 * time.Second
	var shares []string
	for second := range int(period / time.Second) {
		s.run(time.Second)
		used, entries := 0, 0
		for _, n := range s.nodes {
			if n.up && n.core.self.Role == RoleEntry {
				used += n.core.usableMembers(1)
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
			most = max(most, n.bytesIn+n.bytesOut)
			sum += n.bytesIn + n.bytesOut
			count++
		}
	}
	return fmt.Sprintf("still used after 2, 4, 6, 8, 10 s: %s; entry mean %.0f B/s, most %.0f B/s in these 10 s",
		strings.Join(shares, " "), float64(sum)/float64(count)/period.Seconds(), float64(most)/period.Seconds())
}

// usableMembers returns the number of members of a zone that routing does not
// avoid.
func (c *Core) usableMembers(zone uint8) int {
	used := 0
	for _, m := range slices.Concat(c.table.entries, c.table.agents) {
		if m.Zone == zone && m.State < StateSuspect {
			used++
		}
	}
	return used
}
