package passthrough

import (
	"testing"

	"crocusnotch/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "20261204", "checks": "600", "nofailfile": "true"})
}
