package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// Requests that no answer will follow must not hold slots: after all processes were killed,
// each agent counted two or more of them for up to 5 s, refused openings as busy for as
// long, and callers gave up and left further ones behind.
func TestRequestsWithoutAnAnswerHoldNoSlot(t *testing.T) {
	const data = 120
	type bench struct {
		*roomBench
		caller func(flags byte, seq uint32, data int)
	}
	for name, steps := range map[string]func(b bench){
		"a copy crosses the answer": func(b bench) {
			b.caller(16, 8, data)
			b.answer(1, 16, data)
			b.caller(16, 8, data)
		},
		"the data of a caller that gave up follows its end": func(b bench) {
			b.caller(16|64, 8+data, 0)
			b.caller(16, 8, data)
		},
		"the upstream closes instead of an answer": func(b bench) {
			b.caller(16, 8, data)
			b.answer(1, 16|64, 0)
		},
		"a copy across the wrap of sequence numbers": func(b bench) {
			b.caller(16, ^uint32(0)-data/2, data)
			b.answer(1, 16, data)
			b.caller(16, ^uint32(0)-data/2, data)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := bench{roomBench: newRoomBench(0, 2)}
			b.caller = func(flags byte, seq uint32, data int) {
				packet := makePacket(roomKey(1).Caller(), roomKey(1).Route(), flags, seq, 9, data)
				s, _ := codec.Decode(packet)
				b.tracker.Packet(b.now, roomEntry, &s, packet)
			}
			b.open(1, flow.PurposeOpen, unsafe)
			b.answer(1, 1|16, 0)
			steps(b)
			is.Equal(b.tracker.Busy(), 0)
		})
	}
}

// The next request on a flow counts, whose sequence number follows that of the last one,
// also across the wrap.
func TestNextRequestOfAFlowHoldsASlot(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(0, 2)
	b.open(1, flow.PurposeOpen, unsafe)
	b.answer(1, 1|16, 0)
	b.sent[roomKey(1)] = ^uint32(0) - 100
	for range 3 {
		b.request(1, 16, 120)
		is.Equal(b.tracker.Busy(), 1)
		b.answer(1, 16, 100)
		is.Equal(b.tracker.Busy(), 0)
	}
}

// The end of a flow often overtakes the answer before it. Counted as a failed request, it
// made every upstream look as if it failed most of its requests.
func TestEndThatOvertakesTheAnswerIsNoFailure(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(0, 2)
	answered := 0
	b.tracker.ObserveAnswer = func(time.Duration) { answered++ }
	b.open(1, flow.PurposeOpen, unsafe)
	send := func(flags byte, seq uint32, data int) {
		packet := makePacket(roomKey(1).Route(), roomKey(1).Caller(), flags, seq, 9, data)
		s, _ := codec.Decode(packet)
		b.tracker.FromUpstream(b.now, &s, packet, roomEntry)
	}
	send(1|16, 100, 0)
	b.request(1, 16, 120)
	send(16, 101, 0)       // acknowledgement of the request
	send(16|64, 101+60, 0) // the end, after 60 bytes
	is.Equal(b.tracker.Busy(), 0)
	send(16, 101, 60)
	is.Equal(answered, 1)
	b.pass(time.Second)
	is.Equal(b.tracker.FailureRate(), 0.0)
}

// A caller that uses a port again starts at another sequence number, which may be lower.
// Its requests must count, and the former end must not.
func TestRequestOnAPortInUseAgainHoldsASlot(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(0, 2)
	b.open(1, flow.PurposeOpen, unsafe)
	b.answer(1, 1|16, 0)
	b.sent[roomKey(1)] = 1 << 20
	b.request(1, 16, 120)
	b.answer(1, 16, 100)
	b.request(1, 16|64, 0)
	b.sent[roomKey(1)] = 0
	b.open(1, flow.PurposeOpen, unsafe)
	b.answer(1, 1|16, 0)
	b.request(1, 16, 120)
	is.Equal(b.tracker.Busy(), 1)
	b.answer(1, 16, 100)
	is.Equal(b.tracker.Busy(), 0)
}
