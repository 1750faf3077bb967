package membership

import (
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Receive handles a message from another process.
func (c *Core) Receive(now time.Time, m *Message) {
	if m.From == c.self.Addr || c.left {
		return
	}
	c.lastReceived = now
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
		c.receiveItemRequest(now, m)
	case KindVerified:
		c.receiveVerified(now, m)
	}
	knewNoEntry := len(c.table.entries) == 0
	c.mergeMessage(now, m)
	if !knewNoEntry || len(c.table.entries) == 0 {
		return
	}
	if c.self.Role == RoleAgent {
		c.tickAgent(now)
		return
	}
	// The peers know a process that found them by pings only when it announces itself.
	c.announce(now)
}

// mergeMessage merges the content of a message and returns newer records to the
// sender.
func (c *Core) mergeMessage(now time.Time, m *Message) {
	answer := &Message{Kind: KindPush, Repair: true}
	p := newPacker(answer)
	for i := range m.Records {
		if m.Repair && c.needsVerification(&m.Records[i]) {
			c.queueVerification(&m.Records[i])
			continue
		}
		newer := c.mergeRecord(now, &m.Records[i], CauseReported)
		if newer != nil && c.shouldReturn(m, newer) {
			p.record(newer)
		}
	}
	c.mergeFailureReports(now, m.FailureReports)
	for i := range m.Objects {
		c.mergeObject(now, &m.Objects[i])
	}
	c.fetchObjects(m)
	if !p.empty() {
		c.send(m.Control, answer)
	}
}

// needsVerification reports whether a record reports a member as suspect or dead
// that is alive here in the same incarnation.
func (c *Core) needsVerification(r *Record) bool {
	if c.self.Role != RoleEntry || r.State != StateSuspect && r.State != StateDead {
		return false
	}
	known := c.table.get(r.Addr)
	return known != nil && known.State < StateSuspect && known.Incarnation == r.Incarnation
}

// shouldReturn reports whether a newer record is returned to the sender. Pushed
// records are often outdated on arrival, so only a final state is returned for
// them.
func (c *Core) shouldReturn(m *Message, newer *Record) bool {
	return c.self.Role == RoleEntry && (newer.State.Final() || m.Kind != KindPush)
}

func (c *Core) fetchObjects(m *Message) {
	var ids []config.ID
	for _, s := range m.ObjectRefs {
		known := c.objects.get(s.ID())
		if known == nil || s.object().Supersedes(&known.latest) {
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
