package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

type trackedState uint8

const (
	trackedOpening   trackedState = iota // offered to the upstream
	trackedOpen                          // the upstream accepted it, or sent packets of it
	trackedProbing                       // a packet was sent to find out whether the upstream holds the flow
	trackedAbandoned                     // the caller opened it at another agent
)

// trackedFlow is an agent's state of one flow.
type trackedFlow struct {
	state trackedState
	// used is set once the caller has sent a packet on the open flow, or the upstream
	// one after its acceptance. Until then the flow may be open at another
	// upstream, which answered another copy of the opening packet.
	used          bool
	entry         flow.Endpoint // entry that sent the last packet or query, which receives messages about the flow
	search        bool          // that entry is searching for the owner and keeps the packet
	upstreamStart int64         // start of the upstream that holds the flow, 0 if unknown
	lastSeen      time.Time
	openedAt      time.Time
	busy          bool      // a request is unanswered
	measured      bool      // that request got a slot at once, so its answer is a sample of the service time
	requestedAt   time.Time // when the caller sent that request
	closed        bool      // the caller has closed or reset the flow
	requested     bool      // the caller has sent data
	requestEnd    uint32    // sequence number after the last byte of data that the caller has sent
	lastAck       uint32    // last acknowledgement number of the caller
	acceptedSeq   uint32    // sequence number of the upstream's acceptance, 0 if it was not seen
	upstreamEnd   uint32    // sequence number after the last byte that the upstream has sent, 0 if none was seen
}

// recordData reports whether the packet carries data that the caller has not sent before.
// A copy of a request that crosses its answer is not answered again: counted as a request,
// it would hold a slot until requestTimeout.
func (f *trackedFlow) recordData(s *flow.Segment) bool {
	end := s.Seq + uint32(s.Data)
	if s.Data == 0 || f.requested && int32(end-f.requestEnd) <= 0 {
		return false
	}
	f.requested, f.requestEnd = true, end
	return true
}

// reopen forgets the sequence numbers and the end of the flow before this one.
func (f *trackedFlow) reopen() { f.closed, f.requested, f.upstreamEnd = false, false, 0 }

// recordAnswer reports whether the upstream's packet belongs to an answer: it carries data,
// or it is the end of the flow and has overtaken data.
func (f *trackedFlow) recordAnswer(s *flow.Segment) bool {
	overtaken := f.upstreamEnd != 0 && int32(s.Seq-f.upstreamEnd) > 0
	end := s.Seq + uint32(s.Data)
	if s.Accepted {
		end++ // an acceptance takes a sequence number
	}
	if f.upstreamEnd == 0 || int32(end-f.upstreamEnd) > 0 {
		f.upstreamEnd = end
	}
	return s.Data > 0 || s.Fin && overtaken
}
