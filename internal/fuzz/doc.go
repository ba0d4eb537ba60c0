// Package fuzz configures stateful fuzz tests. The seed is fixed, so that every run
// of the tests gives the same result. The environment variables PVALVE_FUZZ_SEED,
// PVALVE_FUZZ_CHECKS and PVALVE_FUZZ_STEPS set another seed or a longer run.
package fuzz
