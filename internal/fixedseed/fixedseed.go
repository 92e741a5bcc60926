// Package fixedseed gives property tests the same random sequences in every
// run, so that the result of CI is reproducible. Tests import it for its side
// effect. The flag -rapid.seed still overrides the seed.
//
// # Usage
//
//	import _ "gradetiller.example/internal/fixedseed"
package fixedseed

import (
	"flag"

	// Registers the flag that init sets.
	_ "pgregory.net/rapid"
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
