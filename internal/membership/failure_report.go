package membership

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Layout of a packed failure report in bytes.
const (
	failureReportSize        = 19
	failureReportPort        = 4
	failureReportIncarnation = 6
	failureReportVersion     = 14
	failureReportState       = 18
)

// appendFailureReport appends the short form of a suspect or dead record:
// processes that know the member need only its address, incarnation, version and
// state. The loss of a whole zone is then reported in a few datagrams.
func appendFailureReport(b []byte, r *Record) []byte {
	ip := r.Addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Addr.Port())
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint32(b, r.Version)
	return append(b, byte(r.State))
}

func parseFailureReport(b []byte) Record {
	ip := netip.AddrFrom4([4]byte(b[:failureReportPort]))
	return Record{
		Addr:        netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[failureReportPort:])),
		Incarnation: binary.BigEndian.Uint64(b[failureReportIncarnation:]),
		Version:     binary.BigEndian.Uint32(b[failureReportVersion:]),
		State:       State(b[failureReportState]),
	}
}

func isFailure(s State) bool { return s == StateSuspect || s == StateDead }

func validFailureReports(b []byte) bool {
	if len(b)%failureReportSize != 0 {
		return false
	}
	for ; len(b) > 0; b = b[failureReportSize:] {
		if r := parseFailureReport(b); !isFailure(r.State) || r.Incarnation > maxIncarnation {
			return false
		}
	}
	return true
}

func (c *Core) mergeFailureReports(now time.Time, b []byte) {
	for ; len(b) > 0; b = b[failureReportSize:] {
		v := parseFailureReport(b)
		if v.Addr == c.self.Addr {
			c.refute(now, &v)
			continue
		}
		c.mergeFailureReport(now, &v)
	}
}

// mergeFailureReport applies a failure report to the known record. A suspicion of
// another version is ignored, because it does not apply to the known record; a
// death of an older version is verified.
func (c *Core) mergeFailureReport(now time.Time, v *Record) {
	known := c.table.get(v.Addr)
	if known == nil || known.Incarnation != v.Incarnation {
		return
	}
	if v.State == StateSuspect && known.Version != v.Version {
		return
	}
	failed := known.Record
	failed.State, failed.Version = v.State, v.Version
	c.mergeRecord(now, &failed, CauseReported)
}
