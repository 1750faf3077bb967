package routing

// Layout of QUIC packets that is the same in all versions, RFC 8999.
const (
	longHeaderBit  = 0x80
	offVersion     = 1
	offLongSize    = 5
	offLongID      = 6
	offShortID     = 1
	versionSize    = 4
	minShortPacket = offShortID + TokenSize
)

// ConnectionID is the destination connection ID of a packet.
type ConnectionID struct {
	ID   []byte // part of the packet
	Long bool   // the packet has a long header and may start a new flow
}

// ParseConnectionID returns the destination connection ID of a packet of any
// QUIC version. A short header does not contain the length of the ID, which is
// TokenSize for all flows of the fleet. ok is false for packets that no caller
// sends: too short, with an empty ID or version negotiation. It does not
// allocate.
func ParseConnectionID(packet []byte) (id ConnectionID, ok bool) {
	if len(packet) < minShortPacket {
		return ConnectionID{}, false
	}
	if packet[0]&longHeaderBit == 0 {
		return ConnectionID{ID: packet[offShortID:minShortPacket]}, true
	}
	if isVersionNegotiation(packet) {
		return ConnectionID{}, false
	}
	end := offLongID + int(packet[offLongSize])
	if end == offLongID || end > len(packet) {
		return ConnectionID{}, false
	}
	return ConnectionID{ID: packet[offLongID:end], Long: true}, true
}

func isVersionNegotiation(packet []byte) bool {
	return [versionSize]byte(packet[offVersion:]) == [versionSize]byte{}
}
