// Package passthrough forwards flows whose packets may not be modified: an entry
// routes each packet to the agent that owns its flow, and the agent forwards it to
// its upstream. Package flow decides on placement and admission.
package passthrough

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/checkpoint"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/keyring"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages between entries, and between entries and agents.
const (
	KindOwned      Kind = 1  // an agent owns the flow
	KindRefused    Kind = 2  // an agent refuses a new flow; carries its packet
	KindNotHeld    Kind = 3  // an agent does not hold the flow; carries its packet
	KindLoad       Kind = 4  // an agent's load
	KindLookup     Kind = 5  // entry to a replica: query for the owner of a flow; carries a packet of the flow unless many searches run
	KindUnknown    Kind = 6  // a replica does not know the owner
	KindRegister   Kind = 7  // entry to a replica: owners of flows
	KindMayHold    Kind = 8  // an agent cannot determine without its upstream whether it holds the flow
	KindQuery      Kind = 9  // entry to an agent: query whether it owns the flows
	KindQueryReply Kind = 10 // the agent's answers to the query
	KindProbeRelay Kind = 11 // entry to an agent: probe a flow here and at other agents
	KindProbe      Kind = 12 // a relayed probe
	KindAbandon    Kind = 13 // entry to an agent: the caller opened the flow at another agent
	KindOpenFlows  Kind = 14 // entry to the writer of its group: open flows for the checkpoint
	kindLimit      Kind = 15
)

// Layout of a message in bytes.
const (
	messageMagic     = 0xC7
	offKind          = 1
	offGeneration    = 2
	offReason        = 3
	offMAC           = 4
	offBody          = 12
	endpointSize     = 6
	keySize          = 12
	offKey           = offBody
	offOwner         = offKey + keySize
	offBusy          = offOwner + endpointSize
	offFailing       = offBusy + 2
	headerSize       = offFailing + 2
	registrationSize = keySize + endpointSize
	answerSize       = keySize + 1
	acceptedSeqSize  = 4  // trailer of KindOwned
	serviceTimeSize  = 2  // trailer of KindLoad
	probeMetaSize    = 5  // purpose and service tag, before the packet of a probe
	agentCountSize   = 1  // precedes the agents of KindProbeRelay
	maxRegistrations = 60 // keeps the datagram below 1,200 bytes
	maxReportedFlows = 70 // keeps the datagram below 1,200 bytes
	maxQueries       = 80 // keeps the query and its reply below 1,200 bytes
	busyScale        = 100
	failureRateScale = 10_000
	serviceTimeUnit  = 100 * time.Microsecond
)

// Message is one datagram between entries, or between an entry and an agent. Kind
// determines which fields are used.
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
	// AcceptedSeq is the sequence number of the upstream's acceptance, in KindOwned. It
	// is 0 if the agent has not seen the acceptance.
	AcceptedSeq uint32
	// Meta is the purpose and the service tag of the packet, in KindProbeRelay and
	// KindProbe.
	Meta   flow.Metadata
	Agents []flow.Endpoint   // that the receiver sends the probe to, in KindProbeRelay
	Flows  []checkpoint.Flow // open flows of the sender, in KindOpenFlows
}

// Registration is one flow and its owner.
type Registration struct {
	Key   flow.Key
	Owner flow.Endpoint
}

// Holding is an agent's answer to whether it owns a flow.
type Holding uint8

// Answers of agents about a flow.
const (
	HoldingNone    Holding = iota // the agent does not own it
	HoldingUnknown                // it cannot determine that without its upstream
	HoldingOwned
	holdingCount
)

// Answer is an agent's answer about one flow.
type Answer struct {
	Key     flow.Key
	Holding Holding
}

// Errors of DecodeMessage.
var (
	ErrMalformed = errors.New("passthrough: malformed message")
	ErrBadMAC    = errors.New("passthrough: wrong MAC or unknown key generation")
)

// Append encodes and signs the message.
func (m *Message) Append(b []byte, keys *keyring.Ring) []byte {
	start := len(b)
	b = append(b, messageMagic, byte(m.Kind), keys.SigningGeneration(), byte(m.Reason))
	b = append(b, make([]byte, offBody-offMAC)...)
	b = append(b, m.Key[:]...)
	b = append(b, m.Owner[:]...)
	b = binary.BigEndian.AppendUint16(b, uint16(min(m.Load.Busy*busyScale, 1<<16-1)))
	b = binary.BigEndian.AppendUint16(b, uint16(min(m.Load.FailureRate, 1)*failureRateScale))
	for _, p := range m.Registrations {
		b = append(b, p.Key[:]...)
		b = append(b, p.Owner[:]...)
	}
	for _, k := range m.Queries {
		b = append(b, k[:]...)
	}
	b = checkpoint.AppendFlows(b, m.Flows)
	for _, a := range m.Answers {
		b = append(b, a.Key[:]...)
		b = append(b, byte(a.Holding))
	}
	switch {
	case m.Kind == KindOwned && m.AcceptedSeq != 0:
		b = binary.BigEndian.AppendUint32(b, m.AcceptedSeq)
	case m.Kind == KindLoad && m.Load.ServiceTime > 0:
		b = binary.BigEndian.AppendUint16(b, uint16(min(m.Load.ServiceTime/serviceTimeUnit, 1<<16-1)))
	case m.Kind == KindProbeRelay || m.Kind == KindProbe:
		b = m.appendProbe(b)
	}
	b = append(b, m.Packet...)
	// The MAC covers the kind and the reason as well as the body.
	sum, _ := keys.MAC(keys.SigningGeneration(), keyring.PurposeDatagram, b[start+offBody:])
	binary.BigEndian.PutUint64(b[start+offMAC:], sum^uint64(m.Kind)<<8^uint64(m.Reason))
	return b
}

// DecodeMessage verifies and decodes a message. Its Packet refers to b. A caller's
// packet that begins like a message is rejected by its MAC.
func DecodeMessage(b []byte, keys *keyring.Ring) (Message, error) {
	if len(b) < headerSize || b[0] != messageMagic || b[offKind] == 0 || Kind(b[offKind]) >= kindLimit {
		return Message{}, ErrMalformed
	}
	m := Message{Kind: Kind(b[offKind]), Reason: flow.Refusal(b[offReason])}
	sum, ok := keys.MAC(b[offGeneration], keyring.PurposeDatagram, b[offBody:])
	if !ok || sum^uint64(m.Kind)<<8^uint64(m.Reason) != binary.BigEndian.Uint64(b[offMAC:]) {
		return Message{}, ErrBadMAC
	}
	m.Key = flow.Key(b[offKey:offOwner])
	m.Owner = flow.Endpoint(b[offOwner:offBusy])
	m.Load.Busy = float64(binary.BigEndian.Uint16(b[offBusy:])) / busyScale
	m.Load.FailureRate = min(1, float64(binary.BigEndian.Uint16(b[offFailing:]))/failureRateScale)
	rest := b[headerSize:]
	if size := itemSize(m.Kind); size > 0 && len(rest)%size != 0 {
		return Message{}, ErrMalformed
	}
	return m, m.decodeItems(rest)
}

// itemSize returns the size of the items listed in a message of the kind; 0 for a
// kind that carries a packet.
func itemSize(k Kind) int {
	switch k {
	case KindRegister:
		return registrationSize
	case KindQuery:
		return keySize
	case KindQueryReply:
		return answerSize
	}
	return 0
}

// decodeItems decodes the part of a message that follows the header.
func (m *Message) decodeItems(rest []byte) error {
	// The trailers of KindOwned and KindLoad are optional, so that agents of earlier
	// versions are understood.
	switch {
	case m.Kind == KindOwned && len(rest) == acceptedSeqSize:
		m.AcceptedSeq = binary.BigEndian.Uint32(rest)
		rest = rest[acceptedSeqSize:]
	case m.Kind == KindLoad && len(rest) == serviceTimeSize:
		m.Load.ServiceTime = time.Duration(binary.BigEndian.Uint16(rest)) * serviceTimeUnit
		rest = rest[serviceTimeSize:]
	case m.Kind == KindProbeRelay || m.Kind == KindProbe:
		return m.decodeProbe(rest)
	case m.Kind == KindOpenFlows:
		flows, err := checkpoint.DecodeFlows(rest)
		if err != nil {
			return ErrMalformed
		}
		m.Flows = flows
		return nil
	}
	size := itemSize(m.Kind)
	if size == 0 {
		m.Packet = rest
		return nil
	}
	for ; len(rest) > 0; rest = rest[size:] {
		k := flow.Key(rest[:keySize])
		switch m.Kind {
		case KindRegister:
			m.Registrations = append(m.Registrations, Registration{Key: k, Owner: flow.Endpoint(rest[keySize:registrationSize])})
		case KindQuery:
			m.Queries = append(m.Queries, k)
		case KindQueryReply:
			if Holding(rest[keySize]) >= holdingCount {
				return ErrMalformed
			}
			m.Answers = append(m.Answers, Answer{Key: k, Holding: Holding(rest[keySize])})
		}
	}
	return nil
}

// appendProbe encodes what precedes the packet of a probe.
func (m *Message) appendProbe(b []byte) []byte {
	b = append(b, byte(m.Meta.Purpose))
	b = binary.BigEndian.AppendUint32(b, m.Meta.Service)
	if m.Kind == KindProbeRelay {
		b = append(b, byte(len(m.Agents)))
		for _, a := range m.Agents {
			b = append(b, a[:]...)
		}
	}
	return b
}

// decodeProbe decodes the part of a probe that follows the header.
func (m *Message) decodeProbe(rest []byte) error {
	if len(rest) < probeMetaSize || flow.Purpose(rest[0]) != flow.PurposeSearch {
		return ErrMalformed
	}
	m.Meta = flow.Metadata{Purpose: flow.PurposeSearch, Service: binary.BigEndian.Uint32(rest[1:])}
	rest = rest[probeMetaSize:]
	if m.Kind == KindProbeRelay {
		if len(rest) < agentCountSize {
			return ErrMalformed
		}
		count := int(rest[0])
		rest = rest[agentCountSize:]
		if count > maxRelayedProbes || len(rest) < count*endpointSize {
			return ErrMalformed
		}
		for range count {
			m.Agents = append(m.Agents, flow.Endpoint(rest[:endpointSize]))
			rest = rest[endpointSize:]
		}
	}
	m.Packet = rest
	return nil
}
