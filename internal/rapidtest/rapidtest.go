// Package rapidtest runs the tests of packages that use rapid, with defaults for
// its flags, such as a fixed seed.
package rapidtest

import (
	"flag"
	"maps"
	"os"
	"testing"
)

// randomSeed is the value of CROCUS_SEED that makes rapid choose a new seed in each
// run.
const randomSeed = "random"

// Main runs the tests. The defaults are values of rapid's flags, by name without the
// prefix "rapid.". CROCUS_SEED overrides the default seed, and flags of the command
// line override all defaults.
func Main(m *testing.M, defaults map[string]string) {
	defaults = maps.Clone(defaults)
	if seed := os.Getenv("CROCUS_SEED"); seed != "" {
		defaults["seed"] = seed
	}
	if defaults["seed"] == randomSeed {
		delete(defaults, "seed")
	}
	for name, value := range defaults {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
