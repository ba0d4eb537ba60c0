package main

import (
	"bytes"
	"context"
	"testing"
	"time"

	"persimmonvalve/demonstrator"
)

// All checks of the demo, the first command of the README, pass.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out bytes.Buffer
	passed, err := demonstrator.Demo(ctx, demonstrator.DefaultOptions(), &out)
	if err != nil || !passed {
		t.Errorf("demo: got passed=%v err=%v, want every line ok:\n%s", passed, err, out.String())
	}
}
