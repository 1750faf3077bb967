package checkpoint

import (
	"time"

	"crocusnotch/internal/flow"
)

const (
	// ReportInterval is the shortest time between two reports of an entry to the writer of
	// its group.
	ReportInterval = time.Second
	// writeInterval is the shortest time between two writes of a group: the store counts
	// each call.
	writeInterval = 2 * time.Second
	// bytesPerSecond bounds what each entry sends for checkpoints on average: half of its
	// 9 KB/s for control. A writer may write that much for each member of its group.
	bytesPerSecond = 4500
	// takeoverDelay is the time from when an entry becomes the writer of its group until
	// its first write: the members have reported to it by then.
	takeoverDelay = ReportInterval + ReportInterval/2
	// minMissing and minMissingShare are the number and the share of flows that the last
	// write lacks from which another one is worth its call.
	minMissing      = 4
	minMissingShare = 0.05
	// anyMissingAfter is the time from the last write after which a single missing flow is
	// worth another one.
	anyMissingAfter = 10 * time.Second
	// maxAckDrift is the number of bytes after which the acknowledgement number of a flow
	// is written again: a caller accepts a reset within 76,800 bytes of its last one.
	maxAckDrift = 38_400
)

// ReportAfter returns the time from a report of so many flows until the next one.
func ReportAfter(flows int) time.Duration {
	return max(ReportInterval, time.Duration(flows*flowSize)*time.Second/bytesPerSecond)
}

// Schedule decides when the writer of a group writes its checkpoint. The zero value is not
// the writer.
type Schedule struct {
	writerSince time.Time // zero unless this entry is the writer
	attemptedAt time.Time
	bytes       int                 // of the last write
	written     map[flow.Key]uint32 // acknowledgement numbers in the store
}

// SetWriter records whether this entry is the writer of its group.
func (s *Schedule) SetWriter(now time.Time, writer bool) {
	switch {
	case !writer:
		*s = Schedule{}
	case s.writerSince.IsZero():
		s.writerSince = now
	}
}

// Due reports whether the checkpoint is to be written now. members is the number of entries
// of the group.
func (s *Schedule) Due(now time.Time, c *Checkpoint, members int) bool {
	if s.writerSince.IsZero() || now.Sub(s.writerSince) < takeoverDelay || now.Sub(s.attemptedAt) < s.interval(members) {
		return false
	}
	missing := s.missing(c)
	if now.Sub(s.attemptedAt) >= anyMissingAfter {
		return missing > 0
	}
	return missing >= minMissing && float64(missing) >= minMissingShare*float64(c.Len())
}

// interval returns the shortest time from the last write to the next one.
func (s *Schedule) interval(members int) time.Duration {
	return max(writeInterval, time.Duration(s.bytes)*time.Second/time.Duration(bytesPerSecond*max(1, members)))
}

// missing returns the number of flows that the last write lacks, or whose acknowledgement
// number in it will soon be too old.
func (s *Schedule) missing(c *Checkpoint) int {
	n := 0
	for i := range c.Members {
		for _, f := range c.Members[i].Flows {
			ack, known := s.written[f.Key]
			if !known || f.Ack-ack > maxAckDrift {
				n++
			}
		}
	}
	return n
}

// Attempted records a write of so many bytes that may fail, so that the next one keeps its
// distance.
func (s *Schedule) Attempted(now time.Time, bytes int) { s.attemptedAt, s.bytes = now, bytes }

// Written records that the store has the checkpoint.
func (s *Schedule) Written(c *Checkpoint) {
	s.written = make(map[flow.Key]uint32, c.Len())
	for i := range c.Members {
		for _, f := range c.Members[i].Flows {
			s.written[f.Key] = f.Ack
		}
	}
}
