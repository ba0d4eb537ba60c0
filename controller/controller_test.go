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

// unreachableURL names a port on which no process listens.
const unreachableURL = "http://127.0.0.1:1"

func run(t *testing.T, c Command) (code int, errOut string) {
	t.Helper()
	var out, errBuffer bytes.Buffer
	controller, err := New(Options{Entry: unreachableURL, Timeout: time.Second}, strings.NewReader(""), &out, &errBuffer)
	if err != nil {
		t.Fatal(err)
	}
	code = controller.Run(t.Context(), c)
	return code, errBuffer.String()
}

func TestExitCodes(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "plans.yaml")
	if err := os.WriteFile(faulty, []byte("plans:\n  - {name: a, colour: red}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		command Command
		code    int
		text    string
	}{
		{"unreachable entry, nothing was sent", &Cells{}, runner.ExitFailed, "connection refused"},
		{"invalid list, error with line and column", (&Publish{File: faulty}).ForList("plans"), runner.ExitUsage, "plans.yaml:2:15: unknown field"},
		{"no such file", (&Check{File: faulty + ".none"}).ForList("plans"), runner.ExitUsage, "no such file"},
		{"no command", nil, runner.ExitUsage, "no command given"},
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
		"refused": runner.ExitFailed, "failed": runner.ExitFailed, "unknown": runner.ExitUnknown,
	} {
		err := &apigen.ErrorStatusCode{Response: apigen.Error{Outcome: outcome}}
		if got := exitCode(err); got != want {
			t.Errorf("%s: got %d, want %d", outcome, got, want)
		}
	}
}
