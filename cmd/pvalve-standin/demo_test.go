package main

import (
	"bytes"
	"context"
	"testing"
	"time"

	"persimmonvalve/demonstrator"
)

// The README's first command: every line of the demo is as promised.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out bytes.Buffer
	good, err := demonstrator.Demo(ctx, demonstrator.DefaultOptions(), &out)
	if err != nil || !good {
		t.Errorf("got good=%v %v, want every line ok:\n%s", good, err, out.String())
	}
}
