// Package routing selects the agent to which a packet of a flow is forwarded. It
// does no I/O.
package routing

import (
	"encoding/binary"
	"net/netip"

	"crocusnotch/internal/keyring"
)

// TokenSize is the length of an owner token, which is a QUIC connection ID,
// in bytes.
const TokenSize = 20

// Layout of an owner token, offsets in bytes.
const (
	offGeneration  = 0
	offIP          = 1
	offPort        = 5
	offService     = 7
	offZone        = 9
	offIncarnation = 10
	offNonce       = 12
	offMAC         = 15
	macSize        = TokenSize - offMAC
	nonceMask      = 1<<24 - 1
	macMask        = 1<<40 - 1
)

// Token identifies the agent that owns a flow. It is sent as the connection ID
// in packets of the flow.
type Token struct {
	Agent       netip.AddrPort // IPv4 data address of the agent
	Service     uint16
	Zone        uint8
	Incarnation uint16 // low bits of the agent's boot incarnation
	Nonce       uint32 // 24 bits, unique per incarnation
}

// TokenVerdict is the result of parsing a token.
type TokenVerdict uint8

// Results of ParseToken.
const (
	TokenValid TokenVerdict = iota
	TokenWrongSize
	TokenUnknownKey
	TokenBadMAC
)

// AppendToken appends the signed form of the token, TokenSize bytes long, to
// dst. The agent address must be IPv4.
func AppendToken(dst []byte, keys *keyring.Ring, t Token) []byte {
	var b [TokenSize]byte
	b[offGeneration] = keys.SigningGeneration()
	ip := t.Agent.Addr().As4()
	copy(b[offIP:], ip[:])
	binary.BigEndian.PutUint16(b[offPort:], t.Agent.Port())
	binary.BigEndian.PutUint16(b[offService:], t.Service)
	b[offZone] = t.Zone
	binary.BigEndian.PutUint16(b[offIncarnation:], t.Incarnation)
	putUint24(b[offNonce:], t.Nonce&nonceMask)
	sum, _ := keys.MAC(keys.SigningGeneration(), keyring.PurposeToken, b[:offMAC])
	putUint40(b[offMAC:], sum&macMask)
	return append(dst, b[:]...)
}

// ParseToken decodes and verifies a token. It does not allocate.
func ParseToken(keys *keyring.Ring, b []byte) (Token, TokenVerdict) {
	if len(b) != TokenSize {
		return Token{}, TokenWrongSize
	}
	sum, ok := keys.MAC(b[offGeneration], keyring.PurposeToken, b[:offMAC])
	if !ok {
		return Token{}, TokenUnknownKey
	}
	if sum&macMask != uint40(b[offMAC:]) {
		return Token{}, TokenBadMAC
	}
	ip := netip.AddrFrom4([4]byte(b[offIP:offPort]))
	return Token{
		Agent:       netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[offPort:])),
		Service:     binary.BigEndian.Uint16(b[offService:]),
		Zone:        b[offZone],
		Incarnation: binary.BigEndian.Uint16(b[offIncarnation:]),
		Nonce:       uint24(b[offNonce:]),
	}, TokenValid
}

func putUint24(b []byte, v uint32) {
	b[0], b[1], b[2] = byte(v>>16), byte(v>>8), byte(v)
}

func uint24(b []byte) uint32 {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
}

func putUint40(b []byte, v uint64) {
	b[0] = byte(v >> 32)
	binary.BigEndian.PutUint32(b[1:], uint32(v))
}

func uint40(b []byte) uint64 {
	return uint64(b[0])<<32 | uint64(binary.BigEndian.Uint32(b[1:]))
}
