package main

import (
	"encoding/binary"
	"hash/crc32"
)

// Flags and layout of a packet, from the platform's page "Packets".
const (
	flagSyn     = 1
	flagBounced = 4
	flagAck     = 16
	flagRst     = 32
	flagFin     = 64

	headerSize = 36
	maxData    = 1200
)

// end is the address and port of one end of a flow.
type end [6]byte

// key identifies a flow: the client's end, then the route's.
type key struct{ client, route end }

type packet struct {
	src, dst end
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

// checksum is the keyed sum over everything but echo, pad and BOUNCED. The system does not
// know the key.
func checksum(b []byte) uint32 {
	c := append([]byte("key of both ends"), b...)
	h := c[16:]
	clear(h[10:18]) // echo and sum
	clear(h[31:headerSize])
	h[30] &^= flagBounced
	return max(1, crc32.ChecksumIEEE(c))
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], uint16(len(p.data)))
	copy(b[18:], p.dst[4:])
	copy(b[20:], p.dst[:4])
	copy(b[24:], p.src[:4])
	copy(b[28:], p.src[4:])
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[14:], checksum(b))
	return b
}

// decode returns the packet; intact is false if its sum is not that of its sender.
func decode(b []byte) (p packet, intact bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[8:])) {
		return p, false
	}
	copy(p.dst[:4], b[20:24])
	copy(p.dst[4:], b[18:20])
	copy(p.src[:4], b[24:28])
	copy(p.src[4:], b[28:30])
	p.seq, p.ack = binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:])
	p.sum, p.flags = binary.BigEndian.Uint32(b[14:]), b[30]
	p.data = append([]byte(nil), b[headerSize:]...)
	return p, p.sum == checksum(b)
}
