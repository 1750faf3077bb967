package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
)

// watchedAgent is the state of an agent that sends heartbeats to this entry.
type watchedAgent struct {
	lastHeartbeat time.Time
	serviceName   string
}

// entryState is the part of the state that only entries have.
type entryState struct {
	watched   map[netip.AddrPort]*watchedAgent
	nextPurge time.Time
}

const (
	purgePeriod    = time.Minute
	entriesInReply = 4
)

func (c *Core) tickEntry(now time.Time) {
	if len(c.table.entries) == 0 {
		c.pingSeeds()
	}
	c.sendRumors(now)
	c.checkHeartbeats(now)
	c.tickProbes(now)
	c.checkSuspects(now)
	c.tickRepair(now)
	if now.After(c.entry.nextPurge) {
		c.entry.nextPurge = now.Add(purgePeriod)
		c.purge(now)
	}
}

// purge drops final records after the retention time.
func (c *Core) purge(now time.Time) {
	for i := range c.table.buckets {
		for _, m := range c.table.buckets[i] {
			if m.State.Final() && now.Sub(m.changedAt) > c.timing.Retention {
				c.table.drop(m)
			}
		}
	}
}

// recentProcess is the time since the end of a process within which what it forwarded may
// matter to its successor.
const recentProcess = 5 * time.Second

// ranBefore reports whether a former process of the member is known that ran until
// shortly before.
func (c *Core) ranBefore(now time.Time, r *Record) bool {
	m := c.table.get(r.Addr)
	return m != nil && m.Incarnation < r.Incarnation && (!m.State.Final() || now.Sub(m.changedAt) < recentProcess)
}

// receiveHeartbeat records the time of the heartbeat and replies with the
// changes in the agent's scope since its last heartbeat.
func (c *Core) receiveHeartbeat(now time.Time, m *Message) {
	if c.self.Role != RoleEntry || len(m.Records) == 0 || m.Records[0].Addr != m.From {
		return
	}
	reported := m.Records[0]
	w := c.entry.watched[m.From]
	if w == nil {
		w = &watchedAgent{}
		c.entry.watched[m.From] = w
	}
	w.lastHeartbeat, w.serviceName = now, m.ServiceName
	restarted := c.ranBefore(now, &reported)
	newer := c.mergeRecord(now, &reported, CauseReported)
	if reported.State.Final() {
		delete(c.entry.watched, m.From)
		return
	}
	reply := &Message{Kind: KindReply, Epoch: c.self.Incarnation, Restarted: restarted}
	if newer != nil {
		reply.Records = append(reply.Records, *newer)
	}
	reply.Records = append(reply.Records, c.comparePeerRecords(now, m.Records[1:])...)
	reply.Objects = c.newerOrDeleted(now, m.ObjectRefs)
	if m.WantsEntries {
		for _, e := range c.randomEntries(entriesInReply, netip.AddrPort{}) {
			reply.Records = append(reply.Records, e.Record)
		}
	}
	seen := m.Seq
	if m.Epoch != c.self.Incarnation {
		seen = 0
	}
	reply.Seq = c.packChanges(reply, reported.Service, m.ServiceName, seen)
	c.send(m.Control, reply)
}

// comparePeerRecords compares the peers' records that an agent sent with the own
// ones. Those of unknown members are stored and probed. It returns the own
// records that are newer.
func (c *Core) comparePeerRecords(now time.Time, reported []Record) []Record {
	var newer []Record
	for i := range reported {
		r := &reported[i]
		if c.needsVerification(r) {
			c.queueVerification(r)
			continue
		}
		unknown := c.table.get(r.Addr) == nil
		if known := c.mergeRecord(now, r, CauseReported); known != nil {
			newer = append(newer, *known)
		}
		if m := c.table.get(r.Addr); unknown && m != nil && !m.State.Final() {
			c.ping(now, m)
		}
	}
	return newer
}

// delta is a change in the scope of an agent.
type delta struct {
	seq    uint64
	record *Record
	object *config.Object
}

// packChanges adds the changes after the sequence number seen, oldest first, and
// returns the sequence number up to which all changes are sent.
func (c *Core) packChanges(m *Message, service uint16, serviceName string, seen uint64) uint64 {
	deltas := c.recordDeltas(service, seen)
	deltas = append(deltas, c.objectDeltas(service, serviceName, seen)...)
	slices.SortFunc(deltas, func(x, y delta) int { return cmp.Compare(x.seq, y.seq) })
	p := newPacker(m)
	p.left -= len(m.Records) * recordSize
	for _, d := range deltas {
		var ok bool
		if d.record != nil {
			ok = p.record(d.record)
		} else {
			ok = p.object(d.object)
		}
		if !ok {
			return seen
		}
		seen = d.seq
	}
	return c.seq
}

func (c *Core) recordDeltas(service uint16, seen uint64) []delta {
	g := c.table.services[service]
	if g == nil || g.seq <= seen || service == 0 {
		return nil
	}
	var out []delta
	for _, m := range g.members {
		if m.seq > seen {
			out = append(out, delta{seq: m.seq, record: &m.Record})
		}
	}
	return out
}

func (c *Core) objectDeltas(service uint16, serviceName string, seen uint64) []delta {
	if c.objects.latest <= seen {
		return nil
	}
	var out []delta
	for i := range c.objects.buckets {
		for _, o := range c.objects.buckets[i] {
			if o.seq > seen && c.inScope(o, service, serviceName) {
				out = append(out, delta{seq: o.seq, object: &o.latest})
			}
		}
	}
	return out
}

// inScope reports whether an agent needs the object: zones and keys, and its
// own service or pool; every service while the agent has set none. Only
// entries need the routes.
func (c *Core) inScope(o *object, service uint16, serviceName string) bool {
	switch o.latest.Kind {
	case config.KindRoutes:
		return false
	case config.KindService, config.KindPool:
	default:
		return true
	}
	if serviceName != "" {
		return o.latest.Name == serviceName
	}
	return service == 0 || o.service == service
}

// regionOf returns the configured region of a zone, empty when unknown.
func (c *Core) regionOf(zone uint8) string { return c.objects.regions[zone] }
