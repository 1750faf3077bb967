// Package passthrough carries flows whose packets the fleet may not change: the
// entry finds the agent that owns a flow, and the agent stands before its
// upstream. Package flow has the decisions about placement and admission.
package passthrough

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"crocusnotch/internal/flow"
	"crocusnotch/internal/keyring"
)

// Kind tells what a message to an entry is for.
type Kind uint8

// Kinds of messages between entries, and between entries and agents.
const (
	KindOwned      Kind = 1  // an agent owns the flow
	KindRefused    Kind = 2  // an agent does not take the new flow; carries its packet
	KindNotHeld    Kind = 3  // an agent does not hold the flow; carries its packet
	KindLoad       Kind = 4  // an agent's load
	KindLookup     Kind = 5  // entry to a home of the flow; carries a packet of it, but in a storm of searches
	KindUnknown    Kind = 6  // a home does not know the owner
	KindRegister   Kind = 7  // entry to a home: owners of flows
	KindMayHold    Kind = 8  // an agent can't tell without its upstream whether it holds the flow
	KindQuery      Kind = 9  // entry to an agent: does it own the flows?
	KindQueryReply Kind = 10 // its answers
	kindEnd        Kind = 11
)

// Layout of a message in bytes.
const (
	messageMagic   = 0xC7
	offKind        = 1
	offGeneration  = 2
	offReason      = 3
	offMAC         = 4
	offBody        = 12
	endSize        = 6
	keySize        = 12
	offKey         = offBody
	offOwner       = offKey + keySize
	offBusy        = offOwner + endSize
	offFailing     = offBusy + 2
	headSize       = offFailing + 2
	pairSize       = keySize + endSize
	answerSize     = keySize + 1
	maxPairs       = 60 // fits into a datagram of 1,200 bytes, as the next
	maxAsks        = 80 // also as answers
	busyResolution = 100
	failResolution = 10_000
)

// Message is one datagram between entries, or of an entry and an agent. The fields in use depend on Kind.
type Message struct {
	Kind          Kind
	Key           flow.Key
	Owner         flow.Endpoint
	Reason        flow.Refusal
	Load          flow.Load
	Packet        []byte
	Registrations []Registration
	Queries       []flow.Key
	Answers       []Answer
}

// Registration names the owner of a flow.
type Registration struct {
	Key   flow.Key
	Owner flow.Endpoint
}

// Holding is what an agent says of a flow.
type Holding uint8

// What agents say of a flow.
const (
	HoldingNone    Holding = iota // the agent does not own it
	HoldingUnknown                // it can't tell without its upstream
	HoldingOwned
	holdingEnd
)

// Answer tells whether an agent owns a flow.
type Answer struct {
	Key     flow.Key
	Holding Holding
}

// Faults of messages.
var (
	ErrMalformed = errors.New("passthrough: malformed message")
	ErrBadMAC    = errors.New("passthrough: wrong MAC or unknown key generation")
)

// Append encodes and signs the message.
func (m *Message) Append(b []byte, keys *keyring.Ring) []byte {
	start := len(b)
	b = append(b, messageMagic, byte(m.Kind), keys.Signing(), byte(m.Reason))
	b = append(b, make([]byte, offBody-offMAC)...)
	b = append(b, m.Key[:]...)
	b = append(b, m.Owner[:]...)
	b = binary.BigEndian.AppendUint16(b, uint16(min(m.Load.Busy*busyResolution, 1<<16-1)))
	b = binary.BigEndian.AppendUint16(b, uint16(min(m.Load.FailureRate, 1)*failResolution))
	for _, p := range m.Registrations {
		b = append(b, p.Key[:]...)
		b = append(b, p.Owner[:]...)
	}
	for _, k := range m.Queries {
		b = append(b, k[:]...)
	}
	for _, a := range m.Answers {
		b = append(b, a.Key[:]...)
		b = append(b, byte(a.Holding))
	}
	b = append(b, m.Packet...)
	// The kind and the reason are signed with the body.
	sum, _ := keys.MAC(keys.Signing(), keyring.PurposeDatagram, b[start+offBody:])
	binary.BigEndian.PutUint64(b[start+offMAC:], sum^uint64(m.Kind)<<8^uint64(m.Reason))
	return b
}

// DecodeMessage verifies and decodes a message. Packet refers to b. A caller's
// packet that begins like a message is told apart by the MAC.
func DecodeMessage(b []byte, keys *keyring.Ring) (Message, error) {
	if len(b) < headSize || b[0] != messageMagic || b[offKind] == 0 || Kind(b[offKind]) >= kindEnd {
		return Message{}, ErrMalformed
	}
	m := Message{Kind: Kind(b[offKind]), Reason: flow.Refusal(b[offReason])}
	sum, ok := keys.MAC(b[offGeneration], keyring.PurposeDatagram, b[offBody:])
	if !ok || sum^uint64(m.Kind)<<8^uint64(m.Reason) != binary.BigEndian.Uint64(b[offMAC:]) {
		return Message{}, ErrBadMAC
	}
	m.Key = flow.Key(b[offKey:offOwner])
	m.Owner = flow.Endpoint(b[offOwner:offBusy])
	m.Load.Busy = float64(binary.BigEndian.Uint16(b[offBusy:])) / busyResolution
	m.Load.FailureRate = min(1, float64(binary.BigEndian.Uint16(b[offFailing:]))/failResolution)
	rest := b[headSize:]
	if size := itemSize(m.Kind); size > 0 && len(rest)%size != 0 {
		return Message{}, ErrMalformed
	}
	return m, m.decodeItems(rest)
}

// itemSize returns the size of the items that a message of the kind lists; 0 for
// one that carries a packet.
func itemSize(k Kind) int {
	switch k {
	case KindRegister:
		return pairSize
	case KindQuery:
		return keySize
	case KindQueryReply:
		return answerSize
	}
	return 0
}

// decodeItems reads what follows the head.
func (m *Message) decodeItems(rest []byte) error {
	size := itemSize(m.Kind)
	if size == 0 {
		m.Packet = rest
		return nil
	}
	for ; len(rest) > 0; rest = rest[size:] {
		k := flow.Key(rest[:keySize])
		switch m.Kind {
		case KindRegister:
			m.Registrations = append(m.Registrations, Registration{Key: k, Owner: flow.Endpoint(rest[keySize:pairSize])})
		case KindQuery:
			m.Queries = append(m.Queries, k)
		case KindQueryReply:
			if Holding(rest[keySize]) >= holdingEnd {
				return ErrMalformed
			}
			m.Answers = append(m.Answers, Answer{Key: k, Holding: Holding(rest[keySize])})
		}
	}
	return nil
}
