// Package rapidtest runs the tests of packages whose random tests draw the same
// values each time.
package rapidtest

import (
	"flag"
	"maps"
	"os"
	"testing"
)

// random as the value of CROCUS_SEED lets each run draw its seed.
const random = "random"

// Main runs the tests with defaults for rapid's flags, by their names without
// "rapid.". CROCUS_SEED takes the place of the default seed, and flags of the
// command line that of all defaults.
func Main(m *testing.M, defaults map[string]string) {
	defaults = maps.Clone(defaults)
	if seed := os.Getenv("CROCUS_SEED"); seed != "" {
		defaults["seed"] = seed
	}
	if defaults["seed"] == random {
		delete(defaults, "seed")
	}
	for name, value := range defaults {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
