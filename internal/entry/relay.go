package entry

import (
	"net/netip"

	"crocusnotch/internal/wire"
)

// answerVerdict is the outcome of checking a datagram from an agent.
type answerVerdict uint8

// Verdicts on answers. The set is fixed because each verdict has its own counter.
const (
	answerRelayed answerVerdict = iota
	answerTooShort
	answerMalformed
	answerUnknownKey
	answerBadMAC
	answerWrongKind
	answerVerdictCount
)

var answerVerdictNames = [answerVerdictCount]string{
	answerRelayed:    "relayed",
	answerTooShort:   "too-short",
	answerMalformed:  "malformed",
	answerUnknownKey: "unknown-key",
	answerBadMAC:     "bad-mac",
	answerWrongKind:  "wrong-kind",
}

// relay sends answers from agents to the fabric. Each relay has its own buffers.
type relay struct {
	entry *Entry
}

func newRelay(e *Entry) *relay { return &relay{entry: e} }

func (r *relay) run() error {
	e := r.entry
	return transfer(e.data, e.fabric, newBatch(0), e.counters, r.handle)
}

func (r *relay) handle(m *message) {
	out, verdict := r.convert(m.buffer, m.size)
	r.entry.counters.countAnswer(verdict)
	if verdict == answerRelayed {
		m.out = out
		m.to = r.entry.settings.FabricReturn
	}
}

// convert turns a datagram from an agent into one for the fabric, in place: the
// PROXY header is shorter than the wire header and overwrites its end.
func (r *relay) convert(buffer []byte, size int) ([]byte, answerVerdict) {
	keys := r.entry.table.Load().Keys()
	if keys == nil {
		return nil, answerUnknownKey
	}
	h, verdict := wire.ParseHeader(keys, buffer[:size])
	if verdict != wire.HeaderValid {
		return nil, invalidAnswerVerdict(verdict)
	}
	if h.Kind != wire.KindToCaller {
		return nil, answerWrongKind
	}
	if size == wire.HeaderSize || !usable(h.Caller) || !usable(h.Destination) {
		return nil, answerMalformed
	}
	start := wire.HeaderSize - proxySize(h.Destination, h.Caller)
	putProxy(buffer[start:wire.HeaderSize], h.Destination, h.Caller)
	return buffer[start:size], answerRelayed
}

func invalidAnswerVerdict(v wire.HeaderVerdict) answerVerdict {
	switch v {
	case wire.HeaderTooShort:
		return answerTooShort
	case wire.HeaderUnknownKey:
		return answerUnknownKey
	case wire.HeaderBadMAC:
		return answerBadMAC
	}
	return answerMalformed
}

// usable reports whether a is a complete address of a caller or a service.
func usable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}
