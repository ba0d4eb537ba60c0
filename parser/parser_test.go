package parser

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	pv "persimmonvalve"
)

// exampleList is a list from testdata with the faults expected for it. In the file,
// "-- NAME" starts a list and each "== FAULT" line below it is an expected fault.
type exampleList struct {
	name string
	text string
	want []string
}

func readExamples(t *testing.T, file string) []exampleList {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var out []exampleList
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(line, "-- "); ok {
			out = append(out, exampleList{name: strings.TrimSpace(name)})
			continue
		}
		e := &out[len(out)-1]
		if fault, ok := strings.CutPrefix(line, "== "); ok {
			e.want = append(e.want, strings.TrimSpace(fault))
		} else {
			e.text += line
		}
	}
	return out
}

func checkExamples(t *testing.T, file string, parse func([]byte) []Fault) {
	t.Helper()
	for _, e := range readExamples(t, file) {
		t.Run(e.name, func(t *testing.T) {
			var got []string
			for _, f := range parse([]byte(e.text)) {
				got = append(got, f.String())
			}
			if !slices.Equal(got, e.want) {
				t.Errorf("got %q, want %q", got, e.want)
			}
		})
	}
}

func TestParsePlans(t *testing.T) {
	checkExamples(t, "testdata/plans.txt", func(text []byte) []Fault {
		_, faults := ParsePlans(text)
		return faults
	})
}

func TestParseAllowances(t *testing.T) {
	checkExamples(t, "testdata/allowances.txt", func(text []byte) []Fault {
		_, faults := ParseAllowances(text)
		return faults
	})
}

func TestPlanWithoutAllowance(t *testing.T) {
	faults := CheckPlansHaveAllowances(pv.Plans{Plans: []pv.Plan{{Name: "a"}}}, pv.Allowances{})
	if got, want := len(faults), 1; got != want {
		t.Errorf("got %d faults, want %d", got, want)
	}
}

// A deeply nested list in the stream kept each process that follows the lists busy, with
// each start anew: the time to parse it grows faster than its depth.
func TestDeepLists(t *testing.T) {
	for _, part := range []string{"[", "{a: ", "- ", "? ", "-\t", "a: [{"} {
		text := "plans: " + strings.Repeat(part, MaxListBytes/len(part)-10)
		done := make(chan []Fault, 1)
		go func() {
			_, faults := ParsePlans([]byte(text))
			done <- faults
		}()
		select {
		case faults := <-done:
			if len(faults) == 0 {
				t.Errorf("%q repeated: got no fault, want one", part)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%q repeated: got no result within 5 s", part)
		}
	}
	if _, faults := ParsePlans([]byte("plans:\n  - {name: \"" + strings.Repeat("[", maxNesting) + "\", customer: c, service: s, class: urgent}\n")); len(faults) != 1 || !strings.Contains(faults[0].Text, "nested") {
		t.Errorf("brackets in a text: got %v, want them counted", faults)
	}
}

// FuzzLists checks that no text makes the parser panic, that parsing is
// deterministic, and that a list has a fault if one of its plans violates one of four
// basic rules.
func FuzzLists(f *testing.F) {
	f.Add([]byte("plans:\n  - {name: a, customer: c, service: s, class: urgent}\n"))
	f.Add([]byte("allowances:\n  - plan: a\n"))
	f.Add([]byte("plans: " + strings.Repeat("[", 500)))
	f.Add([]byte("plans:\n  - {name: a, deadline: 1e400h, retryLimit: 9223372036854775808, size: {cores: .inf, memoryMB: -1}}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		plans, faults := ParsePlans(text)
		again, _ := ParsePlans(text)
		if !reflect.DeepEqual(plans, again) {
			t.Errorf("second parse of the same text: got %v, want %v", again, plans)
		}
		for _, p := range plans.Plans {
			valid := p.Name != "" && p.Customer != "" && (p.Service == "") != (p.TaskKind == "") && !p.Size.Negative()
			if len(faults) == 0 && !valid {
				t.Errorf("invalid plan %+v: got no fault, want at least one", p)
			}
		}
		_, _ = ParseAllowances(text)
	})
}
