//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout of a packet header, as PROTOCOL.md gives it.
const (
	offSeq     = 0
	offAck     = 4
	offLen     = 8
	offEcho    = 10
	offSum     = 14
	offDport   = 18
	offDst     = 20
	offSrc     = 24
	offSport   = 28
	offFlags   = 30
	offPad     = 31
	headerSize = 36

	flagSYN     = 1
	flagBounced = 4
	flagACK     = 16
	flagRST     = 32
	flagFIN     = 64
)

// sumKey is the key of the packet sum, which only clients and endpoints know.
const sumKey = "review-sum-key"

// packet is a decoded packet.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	data     []byte
	sum      uint32
	sumOK    bool // the sum is that of a client or an endpoint
	clean    bool // echo and pad are 0
	raw      []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// systemReset reports whether the packet is a reset that the system made.
func (p *packet) systemReset() bool { return p.has(flagRST) && p.sum == 0 && len(p.data) == 0 }

// sumOf returns the keyed sum over all fields but echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := make([]byte, len(b))
	copy(c, b)
	clear(c[offEcho : offSum+4])
	clear(c[offPad:headerSize])
	c[offFlags] &^= flagBounced
	return max(1, crc32.ChecksumIEEE(append([]byte(sumKey), c...)))
}

func encodePacket(src, dst netip.AddrPort, flags byte, seq, ack uint32, data []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(data))
	binary.BigEndian.PutUint32(b[offSeq:], seq)
	binary.BigEndian.PutUint32(b[offAck:], ack)
	binary.BigEndian.PutUint16(b[offLen:], uint16(len(data)))
	binary.BigEndian.PutUint16(b[offDport:], dst.Port())
	d, s := dst.Addr().As4(), src.Addr().As4()
	copy(b[offDst:], d[:])
	copy(b[offSrc:], s[:])
	binary.BigEndian.PutUint16(b[offSport:], src.Port())
	b[offFlags] = flags
	b = append(b, data...)
	binary.BigEndian.PutUint32(b[offSum:], sumOf(b))
	return b
}

func decodePacket(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[offLen:])) != len(b)-headerSize {
		return packet{}, false
	}
	raw := append([]byte(nil), b...)
	p := packet{
		src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[offSrc:])), binary.BigEndian.Uint16(raw[offSport:])),
		dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[offDst:])), binary.BigEndian.Uint16(raw[offDport:])),
		seq: binary.BigEndian.Uint32(raw[offSeq:]), ack: binary.BigEndian.Uint32(raw[offAck:]),
		flags: raw[offFlags], data: raw[headerSize:], sum: binary.BigEndian.Uint32(raw[offSum:]), raw: raw,
	}
	p.sumOK = p.sum == sumOf(raw)
	p.clean = true
	for _, i := range []int{offEcho, offEcho + 1, offEcho + 2, offEcho + 3, offPad, offPad + 1, offPad + 2, offPad + 3, offPad + 4} {
		p.clean = p.clean && raw[i] == 0
	}
	return p, true
}
