package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Flags and layout of the packet header, as in the page on packets.
const (
	flagSYN     = 1
	flagBounced = 4
	flagACK     = 16
	flagRST     = 32
	flagFIN     = 64

	headerSize = 36
	maxData    = 1200
)

// sumKey is the key of the sum, which only clients and servers know.
var sumKey = []byte("key of the stand-ins")

// end is an IPv4 address and a port in a packet header.
type end struct {
	ip   [4]byte
	port uint16
}

func endOf(a netip.AddrPort) end { return end{a.Addr().As4(), a.Port()} }

func (e end) String() string { return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port).String() }

// flowKey identifies a flow by its client's end and the route's.
type flowKey struct{ client, route end }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

type packet struct {
	src, dst end
	seq, ack uint32
	flags    byte
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet with echo and pad 0 and its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[18:], p.dst.port)
	copy(b[20:], p.dst.ip[:])
	copy(b[24:], p.src.ip[:])
	binary.BigEndian.PutUint16(b[28:], p.src.port)
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[14:], sumOf(b))
	return b
}

// sumOf covers all fields but echo, sum, pad and the flag of bounced packets.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	h.Write(sumKey)
	h.Write(b[:10])
	h.Write(b[18:30])
	h.Write([]byte{b[30] &^ flagBounced})
	h.Write(b[headerSize:])
	return h.Sum32() | 1 // never 0, which marks a reset of the system's own
}

var (
	errShort = errors.New("packet shorter than its header, or of wrong length")
	errSum   = errors.New("packet with a wrong sum")
)

// decode decodes a packet; own reports a reset of the system's own, which has no sum.
func decode(b []byte) (p packet, own bool, err error) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[8:])) != len(b)-headerSize {
		return p, false, errShort
	}
	p = packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]), flags: b[30],
		src:  end{[4]byte(b[24:28]), binary.BigEndian.Uint16(b[28:])},
		dst:  end{[4]byte(b[20:24]), binary.BigEndian.Uint16(b[18:])},
		data: append([]byte(nil), b[headerSize:]...),
	}
	sum := binary.BigEndian.Uint32(b[14:])
	if p.has(flagRST) && sum == 0 && len(p.data) == 0 {
		return p, true, nil
	}
	if sum != sumOf(b) {
		return p, false, errSum
	}
	return p, false, nil
}
