// Package fuzz configures stateful fuzz tests. The seed is fixed, so that every run
// of the tests gives the same result. The environment variables PVALVE_FUZZ_SEED,
// PVALVE_FUZZ_CHECKS and PVALVE_FUZZ_STEPS set another seed or a longer run;
// PVALVE_FUZZ_SHRINK and PVALVE_FUZZ_NOFAILFILE set the time for shrinking a failure
// and whether no fail files are written.
package fuzz
