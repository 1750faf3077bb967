// Package checkpoint decides which open flows are recorded in the platform's store, by
// which entry and when. After a loss of power the record is the only one of those flows.
// It does no I/O; callers pass in the time.
package checkpoint

import (
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/flow"
	"crocusnotch/internal/keyring"
)

// Flow is one open flow.
type Flow struct {
	Key flow.Key
	Ack uint32 // an acknowledgement number of the caller, with which a reset is accepted
}

// Member is an entry of a group with the flows whose packets it receives.
type Member struct {
	Entry flow.Endpoint // data address
	Flows []Flow
}

// Checkpoint is the content of one object: the open flows of a group of entries.
type Checkpoint struct {
	// Written is the writer's wall time, for logs: it proves nothing about the flows.
	Written time.Time
	Members []Member
}

// Len returns the number of flows.
func (c *Checkpoint) Len() int {
	n := 0
	for i := range c.Members {
		n += len(c.Members[i].Flows)
	}
	return n
}

// FlowsOf returns the flows of an entry.
func (c *Checkpoint) FlowsOf(entry flow.Endpoint) []Flow {
	for i := range c.Members {
		if c.Members[i].Entry == entry {
			return c.Members[i].Flows
		}
	}
	return nil
}

// Layout in bytes, before the encoding as text.
const (
	version       = 1
	offVersion    = 0
	offGeneration = 1
	offMAC        = 2
	offBody       = 10
	offWritten    = offBody
	headerSize    = offWritten + 8
	memberSize    = len(flow.Endpoint{}) + 4 // the entry and the number of its flows
	keySize       = len(flow.Key{})
	flowSize      = keySize + 4
)

// maxSize is the largest checkpoint before its encoding as text, which fits into an object
// of 1 MiB.
const maxSize = 768_000

// Errors of Decode.
var (
	ErrMalformed = errors.New("checkpoint: malformed")
	ErrVersion   = errors.New("checkpoint: unknown version")
	ErrBadMAC    = errors.New("checkpoint: wrong MAC or unknown key generation")
)

// Encode encodes and signs the checkpoint. Flows beyond the size of an object are left out.
func Encode(c Checkpoint, keys *keyring.Ring) []byte {
	b := make([]byte, headerSize, headerSize+len(c.Members)*memberSize+c.Len()*flowSize)
	b[offVersion], b[offGeneration] = version, keys.SigningGeneration()
	binary.BigEndian.PutUint64(b[offWritten:], uint64(c.Written.UnixMilli()))
	for i := range c.Members {
		room := (maxSize - len(b) - memberSize) / flowSize
		if room < 0 {
			break
		}
		m := &c.Members[i]
		flows := m.Flows[:min(len(m.Flows), room)]
		b = append(b, m.Entry[:]...)
		b = binary.BigEndian.AppendUint32(b, uint32(len(flows)))
		b = AppendFlows(b, flows)
	}
	sum, _ := keys.MAC(keys.SigningGeneration(), keyring.PurposeCheckpoint, b[offBody:])
	binary.BigEndian.PutUint64(b[offMAC:], sum)
	return base64.StdEncoding.AppendEncode(nil, b)
}

// Decode verifies and decodes a checkpoint. The error is one of the errors above.
func Decode(text []byte, keys *keyring.Ring) (Checkpoint, error) {
	if len(text) > base64.StdEncoding.EncodedLen(maxSize) {
		return Checkpoint{}, ErrMalformed
	}
	b, err := base64.StdEncoding.AppendDecode(nil, text)
	switch {
	case err != nil || len(b) == 0:
		return Checkpoint{}, ErrMalformed
	case b[offVersion] != version:
		return Checkpoint{}, ErrVersion
	case len(b) < headerSize:
		return Checkpoint{}, ErrMalformed
	}
	sum, ok := keys.MAC(b[offGeneration], keyring.PurposeCheckpoint, b[offBody:])
	if !ok || sum != binary.BigEndian.Uint64(b[offMAC:]) {
		return Checkpoint{}, ErrBadMAC
	}
	c := Checkpoint{Written: time.UnixMilli(int64(binary.BigEndian.Uint64(b[offWritten:])))}
	c.Members, err = decodeMembers(b[headerSize:])
	return c, err
}

func decodeMembers(rest []byte) (members []Member, err error) {
	for len(rest) > 0 {
		if len(rest) < memberSize {
			return nil, ErrMalformed
		}
		m := Member{Entry: flow.Endpoint(rest[:memberSize-4])}
		size := uint64(binary.BigEndian.Uint32(rest[memberSize-4:])) * uint64(flowSize)
		rest = rest[memberSize:]
		if uint64(len(rest)) < size {
			return nil, ErrMalformed
		}
		if m.Flows, err = DecodeFlows(rest[:size]); err != nil {
			return nil, err
		}
		members, rest = append(members, m), rest[size:]
	}
	return members, nil
}

// AppendFlows appends the encoding of the flows, 16 bytes each.
func AppendFlows(b []byte, flows []Flow) []byte {
	for i := range flows {
		b = append(b, flows[i].Key[:]...)
		b = binary.BigEndian.AppendUint32(b, flows[i].Ack)
	}
	return b
}

// DecodeFlows decodes what AppendFlows has appended. The error is ErrMalformed.
func DecodeFlows(b []byte) ([]Flow, error) {
	if len(b)%flowSize != 0 {
		return nil, ErrMalformed
	}
	flows := make([]Flow, 0, len(b)/flowSize)
	for ; len(b) > 0; b = b[flowSize:] {
		flows = append(flows, Flow{Key: flow.Key(b[:keySize]), Ack: binary.BigEndian.Uint32(b[keySize:])})
	}
	return flows, nil
}
