package controller

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"persimmonvalve/internal/apigen"
	"persimmonvalve/runner"
)

// nowhere is an address on which nothing listens.
const nowhere = "http://127.0.0.1:1"

func run(t *testing.T, c Command) (code int, errOut string) {
	t.Helper()
	var out, errors bytes.Buffer
	controller, err := New(Options{Entry: nowhere, Timeout: time.Second}, strings.NewReader(""), &out, &errors)
	if err != nil {
		t.Fatal(err)
	}
	code = controller.Run(t.Context(), c)
	return code, errors.String()
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "plans.yaml")
	if err := os.WriteFile(bad, []byte("plans:\n  - {name: a, colour: red}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		command Command
		code    int
		text    string
	}{
		{"an entry that can't be reached: nothing was sent", &Cells{}, runner.ExitRefused, "connection refused"},
		{"a faulty list, with its place", (&Publish{File: bad}).Of("plans"), runner.ExitUsage, "plans.yaml:2:15: unknown field"},
		{"no such file", (&Check{File: bad + ".none"}).Of("plans"), runner.ExitUsage, "no such file"},
		{"no command", nil, runner.ExitUsage, "name a command"},
	}
	for _, s := range tests {
		code, text := run(t, s.command)
		if code != s.code || !strings.Contains(text, s.text) {
			t.Errorf("%s: got %d %q, want %d and %q", s.name, code, text, s.code, s.text)
		}
	}
}

func TestExitCodeOfOutcome(t *testing.T) {
	for outcome, want := range map[string]int{
		"refused": runner.ExitRefused, "failed": runner.ExitRefused, "unknown": runner.ExitUnknown,
	} {
		err := &apigen.ErrorStatusCode{Response: apigen.Error{Outcome: outcome}}
		if got := exitCode(err); got != want {
			t.Errorf("%s: got %d, want %d", outcome, got, want)
		}
	}
}
