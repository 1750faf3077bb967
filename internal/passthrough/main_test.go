package passthrough

import (
	"testing"

	"crocusnotch/internal/flow"
	"crocusnotch/internal/rapidtest"
	"crocusnotch/platform/platformtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "20261204", "checks": "600", "nofailfile": "true"})
}

func makePacket(src, dst flow.Endpoint, flags byte, seq, ack uint32, data int) []byte {
	return platformtest.Packet(src, dst, flags, seq, ack, make([]byte, data))
}
