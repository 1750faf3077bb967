package membership

import (
	"encoding/binary"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
)

// MaxDatagram bounds a sealed message in bytes.
const MaxDatagram = 1200

// Layout of a sealed message in bytes.
const (
	sealMagic      = 0xC8
	offGeneration  = 1
	offMAC         = 2
	offBody        = 10
	maxArray       = 256
	maxMapPairs    = 32
	maxNestedLevel = 8
)

// Kind is the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	KindHeartbeat   Kind = 1  // agent to a watcher, contains its record
	KindReply       Kind = 2  // entry to agent, contains the changes in its scope
	KindPush        Kind = 3  // changed records and objects
	KindPing        Kind = 4  // probe, contains the suspect or final record of the target that it may refute, if any
	KindAck         Kind = 5  // answer to a probe, contains the target's record
	KindPingRequest Kind = 6  // asks an entry to probe Target
	KindDigest      Kind = 7  // hashes of all buckets of one table
	KindListing     Kind = 8  // the items of one bucket
	KindItemRequest Kind = 9  // asks for items of one bucket
	KindVerified    Kind = 10 // the time since the sender's objects were verified as the store's latest
	kindEnd         Kind = 11
)

// TableID names a table in messages of repair.
type TableID uint8

// Tables under repair.
const (
	TableMembers TableID = 1
	TableObjects TableID = 2
)

// Message is one datagram between processes. The fields in use depend on Kind.
type Message struct {
	Kind           Kind            `cbor:"1,keyasint"`
	From           netip.AddrPort  `cbor:"2,keyasint"`           // data address of the sender
	Control        netip.AddrPort  `cbor:"3,keyasint"`           // control address of the sender
	Epoch          uint64          `cbor:"4,keyasint,omitempty"` // incarnation of the entry to which Seq belongs
	Seq            uint64          `cbor:"5,keyasint,omitempty"` // probe number, last change that an agent received, or store revision
	ConfigHash     uint64          `cbor:"6,keyasint,omitempty"` // hash of all configuration objects of the sender
	ServiceName    string          `cbor:"7,keyasint,omitempty"` // agent: name of its service
	Records        []Record        `cbor:"8,keyasint,omitempty"`
	Objects        []config.Object `cbor:"9,keyasint,omitempty"`
	ObjectRefs     []ObjectRef     `cbor:"10,keyasint,omitempty"`
	Target         netip.AddrPort  `cbor:"11,keyasint,omitzero"` // control address
	Table          TableID         `cbor:"12,keyasint,omitempty"`
	Bucket         uint8           `cbor:"13,keyasint,omitempty"`
	Items          []byte          `cbor:"14,keyasint,omitempty"` // packed hashes or items
	WantsEntries   bool            `cbor:"15,keyasint,omitempty"` // agent: requests more entries
	Repair         bool            `cbor:"16,keyasint,omitempty"` // sent by a repair: the records may be outdated
	FailureReports []byte          `cbor:"18,keyasint,omitempty"` // packed failure reports
	Partial        bool            `cbor:"17,keyasint,omitempty"` // the listing contains only a part of the bucket
	Age            uint32          `cbor:"19,keyasint,omitempty"` // KindVerified: milliseconds
	Restarted      bool            `cbor:"20,keyasint,omitempty"` // KindReply: a former process of the agent ran until shortly before
}

// ObjectRef identifies a revision of an object without its value. In a push or
// reply the object was too large for the datagram, and the receiver fetches it.
type ObjectRef struct {
	Kind     string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	Version  uint64 `cbor:"4,keyasint,omitempty"` // see config.Object
}

func refOf(o *config.Object) ObjectRef {
	return ObjectRef{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Version: o.Version}
}

// object returns the object without its value.
func (r ObjectRef) object() *config.Object {
	return &config.Object{Kind: r.Kind, Name: r.Name, Revision: r.Revision, Version: r.Version}
}

// ID returns the identity of the object.
func (r ObjectRef) ID() config.ID { return config.ID{Kind: r.Kind, Name: r.Name} }

// Errors of Seal and Open.
var (
	ErrMalformed  = errors.New("membership: malformed message")
	ErrUnknownKey = errors.New("membership: unknown key generation")
	ErrBadMAC     = errors.New("membership: wrong MAC")
	ErrTooLarge   = errors.New("membership: message too large")
)

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevel,
		MaxArrayElements: maxArray,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Seal encodes and signs a message. It returns ErrTooLarge above MaxDatagram.
func Seal(ring *keyring.Ring, m *Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(body)+offBody > MaxDatagram {
		return nil, ErrTooLarge
	}
	b := make([]byte, offBody, offBody+len(body))
	b[0] = sealMagic
	b[offGeneration] = ring.SigningGeneration()
	sum, _ := ring.MAC(ring.SigningGeneration(), keyring.PurposeControl, body)
	binary.BigEndian.PutUint64(b[offMAC:], sum)
	return append(b, body...), nil
}

// Open verifies and decodes a sealed message.
func Open(ring *keyring.Ring, b []byte) (*Message, error) {
	if len(b) <= offBody || len(b) > MaxDatagram || b[0] != sealMagic {
		return nil, ErrMalformed
	}
	sum, ok := ring.MAC(b[offGeneration], keyring.PurposeControl, b[offBody:])
	if !ok {
		return nil, ErrUnknownKey
	}
	if sum != binary.BigEndian.Uint64(b[offMAC:]) {
		return nil, ErrBadMAC
	}
	m := &Message{}
	if err := decoder.Unmarshal(b[offBody:], m); err != nil {
		return nil, ErrMalformed
	}
	if !m.valid() {
		return nil, ErrMalformed
	}
	return m, nil
}

func (m *Message) valid() bool {
	if m.Kind == 0 || m.Kind >= kindEnd || !isIPv4(m.From) || !isIPv4(m.Control) || !validFailureReports(m.FailureReports) {
		return false
	}
	for i := range m.Records {
		if !m.Records[i].Valid() {
			return false
		}
	}
	return true
}

// Valid reports whether the record can be merged.
func (r *Record) Valid() bool {
	knownRole := r.Role == RoleEntry || r.Role == RoleAgent
	knownState := r.State >= StateReady && r.State <= StateDead
	return knownRole && knownState && isIPv4(r.Addr) && isIPv4(r.Control) && r.Incarnation <= maxIncarnation
}

// maxIncarnation is far above all times in milliseconds. A member could not refute a report
// about a higher one.
const maxIncarnation = 1 << 62

func isIPv4(a netip.AddrPort) bool { return a.Addr().Is4() && a.Port() != 0 }
