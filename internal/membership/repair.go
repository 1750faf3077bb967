package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
)

// Bounds of repair.
const (
	hashSize             = 4
	itemSize             = 12 // 8-byte key and hash
	itemsPerListing      = 85
	bucketsPerDigest     = 4 // buckets listed in answer to one digest
	answersPerListing    = 4 // datagrams in answer to one listing
	objectRepairInterval = time.Second
	busyRepairDelay      = time.Second
)

// repairState is the schedule of table comparisons.
type repairState struct {
	nextMembers      time.Time
	nextObjects      time.Time
	listingsReceived int // listings received since the last own digest
}

// tickRepair sends the digest of the member table to one random entry.
func (c *Core) tickRepair(now time.Time) {
	if now.Before(c.repair.nextMembers) {
		return
	}
	c.repair.nextMembers = now.Add(c.startupOrSteady(now, c.timing.StartupDigest, c.timing.Digest))
	c.repair.listingsReceived = 0
	for _, peer := range c.randomEntries(1, netip.AddrPort{}) {
		c.sendDigest(peer.Control, TableMembers)
	}
}

// compareConfig starts a repair of the objects when an entry's objects differ.
func (c *Core) compareConfig(now time.Time, m *Message) {
	if c.self.Role != RoleEntry || m.ConfigHash == c.objects.sum || !c.isEntry(m.From) || now.Before(c.repair.nextObjects) {
		return
	}
	c.repair.nextObjects = now.Add(objectRepairInterval)
	c.sendDigest(m.Control, TableObjects)
}

// hashesOf returns the hashes of all buckets, including the own record.
func (c *Core) hashesOf(t TableID) [Buckets]uint32 {
	if t == TableObjects {
		return c.objects.hashes
	}
	hashes := c.table.hashes
	hashes[bucketOf(addrKey(c.self.Addr))] ^= c.self.stateHash()
	return hashes
}

func (c *Core) sendDigest(to netip.AddrPort, t TableID) {
	packed := make([]byte, 0, Buckets*hashSize)
	for _, h := range c.hashesOf(t) {
		packed = binary.BigEndian.AppendUint32(packed, h)
	}
	c.send(to, &Message{Kind: KindDigest, Table: t, Items: packed})
}

// receiveDigest sends listings of up to bucketsPerDigest buckets that differ.
func (c *Core) receiveDigest(now time.Time, m *Message) {
	if c.self.Role != RoleEntry || len(m.Items) != Buckets*hashSize {
		return
	}
	own := c.hashesOf(m.Table)
	first := c.rand.IntN(Buckets)
	listed := 0
	for i := range Buckets {
		b := (first + i) % Buckets
		if own[b] == binary.BigEndian.Uint32(m.Items[b*hashSize:]) {
			continue
		}
		c.sendListing(m.Control, m.Table, uint8(b))
		listed++
		if listed == bucketsPerDigest {
			return
		}
	}
}

// item is one record or object, with its key and hash.
type item struct {
	key    uint64
	hash   uint32
	record *Record
	object *config.Object
}

// items returns a bucket's content ordered by key.
func (c *Core) items(t TableID, b uint8) []item {
	var out []item
	if t == TableObjects {
		for id, o := range c.objects.buckets[b] {
			key := idKey(id)
			out = append(out, item{key: key, hash: uint32(revisionHash(key, o.latest.Revision) >> 32), object: &o.latest})
		}
	} else {
		for _, m := range c.table.buckets[b] {
			out = append(out, item{key: addrKey(m.Addr), hash: m.stateHash(), record: &m.Record})
		}
		if bucketOf(addrKey(c.self.Addr)) == b {
			out = append(out, item{key: addrKey(c.self.Addr), hash: c.self.stateHash(), record: &c.self})
		}
	}
	slices.SortFunc(out, func(x, y item) int { return cmp.Compare(x.key, y.key) })
	return out
}

func (i item) final() bool { return i.record != nil && i.record.State.Final() }

// sendListing sends keys and hashes of a bucket's items that are not final. Of
// a bucket that does not fit, a part starting at a random item is sent, so that
// repeated repairs cover all.
func (c *Core) sendListing(to netip.AddrPort, t TableID, b uint8) {
	all := slices.DeleteFunc(c.items(t, b), item.final)
	first := 0
	partial := len(all) > itemsPerListing
	if partial {
		first = c.rand.IntN(len(all))
	}
	packed := []byte{}
	for i := range min(len(all), itemsPerListing) {
		it := all[(first+i)%len(all)]
		packed = binary.BigEndian.AppendUint64(packed, it.key)
		packed = binary.BigEndian.AppendUint32(packed, it.hash)
	}
	c.send(to, &Message{Kind: KindListing, Table: t, Bucket: b, Items: packed, Partial: partial})
}

// receiveListing answers with the items that differ or are missing at the
// sender, and requests those that are missing here. It also requests objects that
// differ: the sender may not know this entry, so that no repair of its own comes.
func (c *Core) receiveListing(now time.Time, m *Message) {
	if c.self.Role != RoleEntry || len(m.Items)%itemSize != 0 {
		return
	}
	c.scheduleRepairSooner(now, m.Table)
	theirs := map[uint64]uint32{}
	for b := m.Items; len(b) > 0; b = b[itemSize:] {
		theirs[binary.BigEndian.Uint64(b)] = binary.BigEndian.Uint32(b[hashSize*2:])
	}
	var answer []item
	for _, it := range c.items(m.Table, m.Bucket) {
		hash, listed := theirs[it.key]
		differs := listed && hash != it.hash
		if !differs || m.Table != TableObjects {
			delete(theirs, it.key)
		}
		missing := !listed && !it.final() && !m.Partial
		if differs || missing {
			answer = append(answer, it)
		}
	}
	c.sendItems(m.Control, answer)
	if len(theirs) > 0 {
		c.sendItemRequest(m.Control, m.Table, m.Bucket, slices.Sorted(maps.Keys(theirs)))
	}
}

// scheduleRepairSooner moves the next repair forward when the last digest led to
// as many listings as one digest can: more buckets may differ.
func (c *Core) scheduleRepairSooner(now time.Time, t TableID) {
	if t != TableMembers {
		return
	}
	c.repair.listingsReceived++
	if c.repair.listingsReceived == bucketsPerDigest {
		c.repair.nextMembers = earlier(c.repair.nextMembers, now.Add(busyRepairDelay))
	}
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

func (c *Core) sendItemRequest(to netip.AddrPort, t TableID, b uint8, keys []uint64) {
	packed := []byte{}
	for _, key := range keys {
		packed = binary.BigEndian.AppendUint64(packed, key)
	}
	c.send(to, &Message{Kind: KindItemRequest, Table: t, Bucket: b, Items: packed})
}

func (c *Core) receiveItemRequest(_ time.Time, m *Message) {
	if c.self.Role != RoleEntry || len(m.Items)%8 != 0 {
		return
	}
	wanted := map[uint64]bool{}
	for b := m.Items; len(b) > 0; b = b[8:] {
		wanted[binary.BigEndian.Uint64(b)] = true
	}
	answer := slices.DeleteFunc(c.items(m.Table, m.Bucket), func(it item) bool { return !wanted[it.key] })
	c.sendItems(m.Control, answer)
}

// sendItems sends records and objects in a bounded number of datagrams; the rest
// is left to the next repair.
func (c *Core) sendItems(to netip.AddrPort, list []item) {
	for range answersPerListing {
		if len(list) == 0 {
			return
		}
		m := &Message{Kind: KindPush, Repair: true}
		p := newPacker(m)
		for len(list) > 0 && p.item(list[0]) {
			list = list[1:]
		}
		c.send(to, m)
	}
}

func (p *packer) item(i item) bool {
	if i.record != nil {
		return p.record(i.record)
	}
	return p.object(i.object)
}

func sortedAddrs[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
}

func sortedKeys[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
