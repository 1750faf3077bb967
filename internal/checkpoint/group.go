package checkpoint

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusnotch/internal/flow"
)

// GroupOf returns the group of an entry, a number below groups. It depends on the address
// alone, so that a process finds the checkpoint of the one before.
func GroupOf(entry flow.Endpoint, groups int) int {
	return int(xxhash.Sum64(entry[:]) % uint64(max(1, groups)))
}

// ObjectName returns the name of the object that holds a group's checkpoint.
func ObjectName(group int) string { return "group-" + strconv.Itoa(group) }

// MembersOf returns those of the entries that belong to the group, in order of their rank:
// the first one writes the checkpoint. Entries need no agreement: while their views
// differ there may be two writers, and the later write stands.
func MembersOf(group, groups int, entries []flow.Endpoint) []flow.Endpoint {
	members := slices.DeleteFunc(slices.Clone(entries), func(e flow.Endpoint) bool { return GroupOf(e, groups) != group })
	slices.SortFunc(members, func(a, b flow.Endpoint) int {
		return cmp.Or(cmp.Compare(writerRank(a), writerRank(b)), a.Compare(b))
	})
	return members
}

func writerRank(e flow.Endpoint) uint64 { return xxhash.Sum64String("checkpoint writer " + e.String()) }

// reportTTL returns how long the flows of a member that has reported so many stay in the
// checkpoint after their last report: two reports may be lost.
func reportTTL(flows int) time.Duration { return 7 * ReportAfter(flows) / 2 }

// reportedFlow is a flow as a member last reported it.
type reportedFlow struct {
	ack uint32
	at  time.Time
}

// Collector holds the flows that the members of a group report to its writer. It is not
// safe for concurrent use. The zero value is empty.
type Collector struct {
	members map[flow.Endpoint]map[flow.Key]reportedFlow
}

// Report records flows of a member.
func (c *Collector) Report(now time.Time, member flow.Endpoint, flows []Flow) {
	if c.members == nil {
		c.members = map[flow.Endpoint]map[flow.Key]reportedFlow{}
	}
	known := c.members[member]
	if known == nil {
		known = make(map[flow.Key]reportedFlow, len(flows))
		c.members[member] = known
	}
	for i := range flows {
		known[flows[i].Key] = reportedFlow{ack: flows[i].Ack, at: now}
	}
}

// Checkpoint returns the flows that were reported lately, and forgets the others.
func (c *Collector) Checkpoint(now time.Time) Checkpoint {
	out := Checkpoint{Written: now}
	for _, member := range slices.SortedFunc(maps.Keys(c.members), flow.Endpoint.Compare) {
		known := c.members[member]
		ttl := reportTTL(len(known))
		maps.DeleteFunc(known, func(_ flow.Key, f reportedFlow) bool { return now.Sub(f.at) > ttl })
		if len(known) == 0 {
			delete(c.members, member)
			continue
		}
		m := Member{Entry: member}
		for _, k := range slices.SortedFunc(maps.Keys(known), flow.Key.Compare) {
			m.Flows = append(m.Flows, Flow{Key: k, Ack: known[k].ack})
		}
		out.Members = append(out.Members, m)
	}
	return out
}

// Clear forgets all flows: another entry writes the checkpoint.
func (c *Collector) Clear() { c.members = nil }
