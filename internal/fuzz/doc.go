// Package fuzz fixes the seed of stateful fuzzing, so that every run of the
// tests gives the same verdict. PVALVE_FUZZ_SEED, PVALVE_FUZZ_CHECKS and
// PVALVE_FUZZ_STEPS in the environment ask for another or a longer run.
package fuzz
