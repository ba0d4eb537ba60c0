package fuzz

// This file defines how a test shows that an oracle bites: it runs a property
// that a mutant must break, and reports whether it did.

import (
	"fmt"
	"runtime"

	"pgregory.net/rapid"
)

// recorder takes a property's failure without failing the test around it.
type recorder struct {
	failed bool
	text   string
}

var _ rapid.TB = (*recorder)(nil)

func (r *recorder) Helper()                         {}
func (r *recorder) Name() string                    { return "mutant" }
func (r *recorder) Logf(format string, args ...any) { r.text += fmt.Sprintf(format, args...) + "\n" }
func (r *recorder) Log(args ...any)                 { r.text += fmt.Sprintln(args...) }
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

// Caught runs the property and reports whether it failed, with its output.
func Caught(property func(*rapid.T)) (bool, string) {
	r := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed, r.text
}
