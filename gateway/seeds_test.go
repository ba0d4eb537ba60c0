package gateway_test

import (
	"os"
	"strconv"
	"testing"
)

// Defaults of PVALVE_SITE_SEED and PVALVE_SITE_RUNS, used in CI.
const (
	defaultSeed = 1
	defaultRuns = 25
)

// siteSeeds returns the first seed and the number of seeds to run.
func siteSeeds(t *testing.T) (first, count uint64) {
	t.Helper()
	return siteSeedsOr(t, defaultRuns)
}

// siteSeedsOr returns the first seed and the number of seeds to run, by default runs.
func siteSeedsOr(t *testing.T, runs uint64) (first, count uint64) {
	t.Helper()
	read := func(name string, fallback uint64) uint64 {
		text := os.Getenv(name)
		if text == "" {
			return fallback
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return n
	}
	return read("PVALVE_SITE_SEED", defaultSeed), read("PVALVE_SITE_RUNS", runs)
}
