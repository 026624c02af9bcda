// Package cassiaseed sets a fixed default seed for property tests, so that each run gives the same result. Import it for this
// side effect in a test file. The flag -rapid.seed=N uses another seed, and -rapid.checks=N runs more checks.
package cassiaseed

import (
	"flag"

	// Registers the flags of rapid before init sets the seed.
	_ "pgregory.net/rapid"
)

// seed is the seed of property tests unless the command line sets another.
const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
