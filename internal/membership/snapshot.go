package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"crocusnotch/internal/config"
)

// BucketsPerPage is the number of buckets in one page of a snapshot.
const BucketsPerPage = 16

// SnapshotQuery selects the part of the tables that a process requests.
type SnapshotQuery struct {
	Page        int
	Agent       bool
	Address     netip.AddrPort // data address of the agent
	Service     uint16
	ServiceName string
	Objects     []config.ID
}

// Snapshot returns one page of records and objects and the number of the next
// page, 0 after the last.
func (c *Core) Snapshot(q SnapshotQuery) (records []Record, objects []config.Object, next int) {
	switch {
	case len(q.Objects) > 0:
		return nil, c.snapshotObjects(q.Objects), 0
	case q.Agent:
		return c.snapshotForAgent(q)
	}
	return c.snapshotPage(q.Page)
}

func (c *Core) snapshotObjects(ids []config.ID) []config.Object {
	var out []config.Object
	for _, id := range ids {
		if o := c.objects.get(id); o != nil {
			out = append(out, o.latest)
		}
	}
	return out
}

func (c *Core) snapshotPage(page int) (records []Record, objects []config.Object, next int) {
	if page < 0 || page >= Buckets/BucketsPerPage {
		return nil, nil, 0
	}
	first := page * BucketsPerPage
	if page == 0 {
		records = append(records, c.self)
	}
	for b := first; b < first+BucketsPerPage; b++ {
		for _, m := range c.table.buckets[b] {
			records = append(records, m.Record)
		}
		for _, o := range c.objects.buckets[b] {
			objects = append(objects, o.latest)
		}
	}
	slices.SortFunc(records, func(x, y Record) int { return x.Addr.Compare(y.Addr) })
	slices.SortFunc(objects, func(x, y config.Object) int { return cmp.Compare(x.Revision, y.Revision) })
	if first+BucketsPerPage < Buckets {
		next = page + 1
	}
	return records, objects, next
}

// snapshotForAgent returns the entries with the highest rendezvous hashes for the
// agent, among which it chooses its watchers, the live agents of its service and the
// objects in its scope.
func (c *Core) snapshotForAgent(q SnapshotQuery) (records []Record, objects []config.Object, next int) {
	if !isIPv4(q.Address) {
		return nil, nil, 0
	}
	entries := make([]Record, 0, len(c.table.entries)+1)
	entries = append(entries, c.self)
	for _, m := range c.table.entries {
		entries = append(entries, m.Record)
	}
	slices.SortFunc(entries, func(x, y Record) int {
		return cmp.Compare(rendezvous(q.Address, y.Addr), rendezvous(q.Address, x.Addr))
	})
	records = entries[:min(len(entries), maxKnownEntries/2)]
	if g := c.table.services[q.Service]; g != nil && q.Service != 0 {
		for _, m := range g.members {
			if !m.State.Final() {
				records = append(records, m.Record)
			}
		}
	}
	for i := range c.objects.buckets {
		for _, o := range c.objects.buckets[i] {
			if c.inScope(o, q.Service, q.ServiceName) {
				objects = append(objects, o.latest)
			}
		}
	}
	slices.SortFunc(objects, func(x, y config.Object) int { return cmp.Compare(x.Revision, y.Revision) })
	return records, objects, 0
}
