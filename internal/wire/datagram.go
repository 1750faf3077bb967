// Package wire defines the messages between the processes of the system:
// datagram headers, jsonrpc2 methods and the TLS material that protects them.
package wire

import (
	"encoding/binary"
	"net/netip"

	"crocusnotch/internal/keyring"
)

// HeaderSize is the length of a datagram header in bytes. The payload, one
// QUIC packet or a control body, follows it.
const HeaderSize = 62

const headerMagic = 0xC7

// MaxHops limits how many times agents forward one datagram to another agent.
const MaxHops = 2

// Kind is the type of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	KindToAgent    Kind = 1 // entry to agent, or agent to agent when forwarded
	KindToCaller   Kind = 2 // agent to entry
	KindLoadReport Kind = 3 // agent to peer agent: load report
)

// Offsets in a datagram header, in bytes.
const (
	offMagic       = 0
	offKind        = 1
	offGeneration  = 2
	offHops        = 3
	offService     = 4
	offCaller      = 6
	offDestination = 24
	offEntry       = 42
	offSecond      = 48
	offMAC         = 54
	ipSize         = 16
	ip4Size        = 4
)

// Header precedes every datagram between entries and agents.
type Header struct {
	Kind            Kind
	Hops            uint8 // number of times that an agent forwarded the datagram to another
	Service         uint16
	Caller          netip.AddrPort
	Destination     netip.AddrPort // the service address that the caller used
	Entry           netip.AddrPort // IPv4 data address of the entry that relays the answers
	SecondCandidate netip.AddrPort // IPv4 data address of the second candidate; zero when the flow has an owner
}

// HeaderVerdict is the result of parsing a header.
type HeaderVerdict uint8

// Results of ParseHeader.
const (
	HeaderValid HeaderVerdict = iota
	HeaderTooShort
	HeaderMalformed
	HeaderUnknownKey
	HeaderBadMAC
)

// PutHeader writes the signed header to dst[:HeaderSize]. The MAC covers only the
// header, because QUIC protects the payload. It does not allocate.
func PutHeader(dst []byte, keys *keyring.Ring, h *Header) {
	_ = dst[HeaderSize-1]
	dst[offMagic] = headerMagic
	dst[offKind] = byte(h.Kind)
	dst[offGeneration] = keys.SigningGeneration()
	dst[offHops] = h.Hops
	binary.BigEndian.PutUint16(dst[offService:], h.Service)
	putAddrPort(dst[offCaller:], h.Caller)
	putAddrPort(dst[offDestination:], h.Destination)
	putAddrPort4(dst[offEntry:], h.Entry)
	putAddrPort4(dst[offSecond:], h.SecondCandidate)
	sum, _ := keys.MAC(keys.SigningGeneration(), keyring.PurposeDatagram, dst[:offMAC])
	binary.BigEndian.PutUint64(dst[offMAC:], sum)
}

// ParseHeader decodes and verifies the header at the start of b. It does not
// allocate.
func ParseHeader(keys *keyring.Ring, b []byte) (Header, HeaderVerdict) {
	if len(b) < HeaderSize {
		return Header{}, HeaderTooShort
	}
	if b[offMagic] != headerMagic {
		return Header{}, HeaderMalformed
	}
	sum, ok := keys.MAC(b[offGeneration], keyring.PurposeDatagram, b[:offMAC])
	if !ok {
		return Header{}, HeaderUnknownKey
	}
	if sum != binary.BigEndian.Uint64(b[offMAC:]) {
		return Header{}, HeaderBadMAC
	}
	return Header{
		Kind:            Kind(b[offKind]),
		Hops:            b[offHops],
		Service:         binary.BigEndian.Uint16(b[offService:]),
		Caller:          addrPort(b[offCaller:]),
		Destination:     addrPort(b[offDestination:]),
		Entry:           addrPort4(b[offEntry:]),
		SecondCandidate: addrPort4(b[offSecond:]),
	}, HeaderValid
}

func putAddrPort(b []byte, a netip.AddrPort) {
	if a.IsValid() {
		ip := a.Addr().As16()
		copy(b, ip[:])
	} else {
		clear(b[:ipSize])
	}
	binary.BigEndian.PutUint16(b[ipSize:], a.Port())
}

func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([ipSize]byte(b[:ipSize])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[ipSize:]))
}

func putAddrPort4(b []byte, a netip.AddrPort) {
	if a.IsValid() {
		ip := a.Addr().As4()
		copy(b, ip[:])
	} else {
		clear(b[:ip4Size])
	}
	binary.BigEndian.PutUint16(b[ip4Size:], a.Port())
}

func addrPort4(b []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(b[ip4Size:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([ip4Size]byte(b[:ip4Size])), port)
}
