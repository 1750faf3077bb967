package membership

import (
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Receive takes a message from another process.
func (c *Core) Receive(now time.Time, m *Message) {
	if m.From == c.self.Addr || c.left {
		return
	}
	c.heard = now
	switch m.Kind {
	case KindHeartbeat:
		c.receiveHeartbeat(now, m)
		return
	case KindReply:
		c.receiveReply(now, m)
	case KindPing:
		c.receivePing(now, m)
	case KindAck:
		c.receiveAck(now, m)
	case KindPingRequest:
		c.receivePingRequest(now, m)
	case KindDigest:
		c.receiveDigest(now, m)
	case KindListing:
		c.receiveListing(now, m)
	case KindItemRequest:
		c.receiveWant(now, m)
	case KindFreshness:
		c.receiveFresh(now, m)
	}
	alone := len(c.table.entries) == 0
	c.mergeMessage(now, m)
	if alone && len(c.table.entries) > 0 && c.self.Role == RoleAgent {
		c.tickAgent(now)
	}
}

// mergeMessage merges what a message carries and answers with what is newer
// here.
func (c *Core) mergeMessage(now time.Time, m *Message) {
	answer := &Message{Kind: KindPush, Repair: true}
	p := newPacker(answer)
	for i := range m.Records {
		if m.Repair && c.isDoubtful(&m.Records[i]) {
			c.doubt(&m.Records[i])
			continue
		}
		newer := c.mergeRecord(now, &m.Records[i], CauseReported)
		if newer != nil && c.corrects(m, newer) {
			p.record(newer)
		}
	}
	c.mergeVerdicts(now, m.FailureReports)
	for i := range m.Objects {
		c.mergeObject(now, &m.Objects[i])
	}
	c.fetchStubs(m)
	if !p.empty() {
		c.send(m.Control, answer)
	}
}

// isDoubtful reports whether a record says that a member is suspect or dead
// which is alive here.
func (c *Core) isDoubtful(r *Record) bool {
	if c.self.Role != RoleEntry || r.State != StateSuspect && r.State != StateDead {
		return false
	}
	known := c.table.get(r.Addr)
	return known != nil && known.State < StateSuspect && known.Incarnation == r.Incarnation
}

// corrects reports whether a sender is told of a newer record: spread records
// are often older on the way, so only a final state is worth an answer there.
func (c *Core) corrects(m *Message, newer *Record) bool {
	return c.self.Role == RoleEntry && (newer.State.Final() || m.Kind != KindPush)
}

func (c *Core) fetchStubs(m *Message) {
	var ids []config.ID
	for _, s := range m.ObjectRefs {
		if s.Revision > c.objects.revision(s.ID()) {
			ids = append(ids, s.ID())
		}
	}
	if len(ids) > 0 {
		c.out.Fetches = append(c.out.Fetches, Fetch{From: m.Control, IDs: ids})
	}
}

func (c *Core) isEntry(a netip.AddrPort) bool {
	m := c.table.get(a)
	return m != nil && m.Role == RoleEntry
}
