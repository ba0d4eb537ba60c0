package runner

import (
	"bytes"
	"strings"
	"testing"
)

type sample struct {
	Common
	Process
	Site
}

func (sample) Version() string { return "sample " + Version }

// Parse reports all faults of the settings at once, and the program doesn't start.
func TestAllFaultsReportedAtOnce(t *testing.T) {
	var s sample
	var out, errOut bytes.Buffer
	code, ok := Parse("sample", &s, []string{"--log-level", "loud", "--homes", "0", "--log-url", "nowhere", "--max-connections", "15"}, &out, &errOut)
	if ok || code != ExitUsage {
		t.Fatalf("got ok=%v code %d, want false and %d", ok, code, ExitUsage)
	}
	for _, field := range []string{"LogLevel", "Homes", "LogURL", "FleetURL", "Name", "Zone", "MaxConnections"} {
		if !strings.Contains(errOut.String(), field) {
			t.Errorf("field %s missing from the error output %q", field, errOut.String())
		}
	}
}

func TestUnknownFlag(t *testing.T) {
	var s sample
	var out, errOut bytes.Buffer
	if code, ok := Parse("sample", &s, []string{"--colour"}, &out, &errOut); ok || code != ExitUsage {
		t.Errorf("got ok=%v code %d, want false and %d", ok, code, ExitUsage)
	}
}

func TestHelpAndVersion(t *testing.T) {
	for _, flag := range []string{"--help", "--version"} {
		var s sample
		var out, errOut bytes.Buffer
		if code, ok := Parse("sample", &s, []string{flag}, &out, &errOut); ok || code != ExitDone || out.Len() == 0 && flag == "--help" {
			t.Errorf("%s: got ok=%v code %d %q, want false, %d and text", flag, ok, code, out.String(), ExitDone)
		}
	}
}

// Settings that can't be checked at all are a fault, not a success.
func TestSettingsOfWrongKind(t *testing.T) {
	for _, settings := range []any{nil, 3, "text"} {
		if got := Check(settings); len(got) == 0 {
			t.Errorf("%v: got no fault, want one", settings)
		}
	}
}
