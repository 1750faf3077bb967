package membership

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Layout of a packed verdict in bytes.
const (
	verdictSize        = 19
	verdictPort        = 4
	verdictIncarnation = 6
	verdictVersion     = 14
	verdictState       = 18
)

// A verdict is the short form of a record that is suspect or dead: those who
// know the member need only its address, incarnation, version and state. The
// loss of a whole zone then takes few datagrams.
func appendVerdict(b []byte, r *Record) []byte {
	ip := r.Addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Addr.Port())
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint32(b, r.Version)
	return append(b, byte(r.State))
}

func parseVerdict(b []byte) Record {
	ip := netip.AddrFrom4([4]byte(b[:verdictPort]))
	return Record{
		Addr:        netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[verdictPort:])),
		Incarnation: binary.BigEndian.Uint64(b[verdictIncarnation:]),
		Version:     binary.BigEndian.Uint32(b[verdictVersion:]),
		State:       State(b[verdictState]),
	}
}

func isVerdict(s State) bool { return s == StateSuspect || s == StateDead }

func validVerdicts(b []byte) bool {
	if len(b)%verdictSize != 0 {
		return false
	}
	for ; len(b) > 0; b = b[verdictSize:] {
		if !isVerdict(State(b[verdictState])) {
			return false
		}
	}
	return true
}

func (c *Core) mergeVerdicts(now time.Time, b []byte) {
	for ; len(b) > 0; b = b[verdictSize:] {
		v := parseVerdict(b)
		if v.Addr == c.self.Addr {
			c.refute(now, &v)
			continue
		}
		c.mergeVerdict(now, &v)
	}
}

// mergeVerdict applies a verdict to the known record. A suspicion of another
// version says nothing about the record that is known here; a death of an older
// one is verified.
func (c *Core) mergeVerdict(now time.Time, v *Record) {
	known := c.table.get(v.Addr)
	if known == nil || known.Incarnation != v.Incarnation {
		return
	}
	if v.State == StateSuspect && known.Version != v.Version {
		return
	}
	judged := known.Record
	judged.State, judged.Version = v.State, v.Version
	c.mergeRecord(now, &judged, CauseReported)
}
