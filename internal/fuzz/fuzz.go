package fuzz

import (
	"cmp"
	"flag"
	"os"
)

// Defaults of the flags of the library rapid; CI uses them.
const (
	defaultSeed   = "20261204"
	defaultChecks = "300"
	defaultSteps  = "120" // average number of steps of one check
)

// SetFlags sets the flags of the library rapid from the environment or to the
// defaults. Call it from TestMain before m.Run.
func SetFlags() {
	flag.Parse()
	set("rapid.seed", "PVALVE_FUZZ_SEED", defaultSeed)
	set("rapid.checks", "PVALVE_FUZZ_CHECKS", defaultChecks)
	set("rapid.steps", "PVALVE_FUZZ_STEPS", defaultSteps)
	set("rapid.shrinktime", "PVALVE_FUZZ_SHRINK", "1s")
	set("rapid.nofailfile", "PVALVE_FUZZ_NOFAILFILE", "true")
}

// SetChecks sets the number of checks of all following tests, for tests whose checks
// take long. PVALVE_FUZZ_CHECKS overrides it.
func SetChecks(n string) {
	set("rapid.checks", "PVALVE_FUZZ_CHECKS", n)
}

// FixChecks sets the number of checks of all following tests regardless of the
// environment, since a mutant must be caught in a short run as well.
func FixChecks(n string) {
	if err := flag.Set("rapid.checks", n); err != nil {
		panic("fuzz: cannot set flag rapid.checks: " + err.Error())
	}
}

func set(name, variable, fallback string) {
	value := cmp.Or(os.Getenv(variable), fallback)
	if err := flag.Set(name, value); err != nil {
		panic("fuzz: cannot set flag: " + err.Error()) // a malformed variable must fail the run
	}
}
