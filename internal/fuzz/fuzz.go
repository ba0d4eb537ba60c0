package fuzz

import (
	"cmp"
	"flag"
	"os"
)

// Defaults of a run in CI.
const (
	defaultSeed   = "20261204"
	defaultChecks = "300"
	defaultSteps  = "120"
)

// SetFlags sets the library's flags; call it from TestMain before m.Run.
func SetFlags() {
	flag.Parse()
	set("rapid.seed", "PVALVE_FUZZ_SEED", defaultSeed)
	set("rapid.checks", "PVALVE_FUZZ_CHECKS", defaultChecks)
	set("rapid.steps", "PVALVE_FUZZ_STEPS", defaultSteps)
	set("rapid.shrinktime", "PVALVE_FUZZ_SHRINK", "1s")
	set("rapid.nofailfile", "PVALVE_FUZZ_NOFAILFILE", "true")
}

// SetChecks sets how many checks the next test runs where the environment doesn't
// say, for tests whose checks are long.
func SetChecks(n string) {
	set("rapid.checks", "PVALVE_FUZZ_CHECKS", n)
}

// LimitChecks sets how many checks the next test runs at most, whatever the
// environment says: a mutant has to be caught in a short run as well.
func LimitChecks(n string) {
	if err := flag.Set("rapid.checks", n); err != nil {
		panic("fuzz: " + err.Error())
	}
}

func set(name, variable, fallback string) {
	value := cmp.Or(os.Getenv(variable), fallback)
	if err := flag.Set(name, value); err != nil {
		panic("fuzz: " + err.Error()) // a malformed variable must not pass as a run
	}
}
