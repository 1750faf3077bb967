package request

import (
	"flag"
	"os"
	"testing"
)

// Defaults of the state machine, unless its flags are given.
const (
	defaultChecks = "2000"
	defaultSteps  = "100"
	defaultSeed   = "1"
)

// TestMain fixes the seed. CROCUS_SEED=random draws one; any other value is
// the seed. For a long run:
//
//	CROCUS_SEED=random go test ./internal/request -run TestPromises -v -timeout 1h -rapid.checks 500000 -rapid.steps 150
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	seed := os.Getenv("CROCUS_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	for name, value := range map[string]string{
		"rapid.seed": seed, "rapid.checks": defaultChecks, "rapid.steps": defaultSteps,
	} {
		if !given[name] && value != "random" {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
