package fuzz

// This file defines how a test shows that a property detects faults: it checks the
// property against a mutant and reports whether the check failed.

import (
	"fmt"
	"runtime"

	"pgregory.net/rapid"
)

// recorder implements rapid.TB. It records the failure of a property without failing
// the test that checks it.
type recorder struct {
	failed bool
	output string
}

var _ rapid.TB = (*recorder)(nil)

func (r *recorder) Helper()                         {}
func (r *recorder) Name() string                    { return "mutant" }
func (r *recorder) Logf(format string, args ...any) { r.output += fmt.Sprintf(format, args...) + "\n" }
func (r *recorder) Log(args ...any)                 { r.output += fmt.Sprintln(args...) }
func (r *recorder) Skipf(format string, args ...any) {
	r.Logf(format, args...)
	r.SkipNow()
}
func (r *recorder) Skip(args ...any) {
	r.Log(args...)
	r.SkipNow()
}
func (r *recorder) SkipNow() { runtime.Goexit() }
func (r *recorder) Errorf(format string, args ...any) {
	r.Logf(format, args...)
	r.Fail()
}
func (r *recorder) Error(args ...any) {
	r.Log(args...)
	r.Fail()
}
func (r *recorder) Fatalf(format string, args ...any) {
	r.Logf(format, args...)
	r.FailNow()
}
func (r *recorder) Fatal(args ...any) {
	r.Log(args...)
	r.FailNow()
}
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
func (r *recorder) Fail()        { r.failed = true }
func (r *recorder) Failed() bool { return r.failed }

// FindsFailure checks the property and reports whether it failed, together with
// the output of the check.
func FindsFailure(property func(*rapid.T)) (bool, string) {
	r := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed, r.output
}
