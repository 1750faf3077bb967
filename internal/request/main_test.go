package request

import (
	"testing"

	"crocusnotch/internal/rapidtest"
)

// TestMain fixes the seed. CROCUS_SEED=random draws one; any other value is
// the seed. For a long run:
//
//	CROCUS_SEED=random go test ./internal/request -run TestInvariants -v -timeout 1h -rapid.checks 500000 -rapid.steps 150
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "checks": "2000", "steps": "100"})
}
