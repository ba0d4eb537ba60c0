package follower

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	pv "persimmonvalve"
	"persimmonvalve/internal/fuzz"
	"persimmonvalve/standin"
)

func TestMain(m *testing.M) {
	fuzz.SetFlags()
	m.Run()
}

// model runs several followers over a log with concurrent changes, delayed
// checkpoints, retention and exchange of states between peers. The oracle is a
// follower that has read every record.
type model struct {
	t         *rapid.T
	log       *standin.Log
	oracle    *Core
	followers []*Core
	versions  []pv.Offset
	delayed   []Record // checkpoints not appended yet
	overstate bool     // mutant: Through is raised to the end of the log at the time of the append
}

func (m *model) append(r Record) {
	data, err := Encode(r)
	if err != nil {
		m.t.Fatal(err)
	}
	_, _ = m.log.Append(context.Background(), Stream, [][]byte{data})
	m.read(m.oracle)
}

func (m *model) read(c *Core) []Result {
	b, _ := m.log.Read(context.Background(), Stream, c.Next(), 1000)
	return c.Feed(b)
}

func (m *model) listText(t *rapid.T, kind pv.ListKind) string {
	n := rapid.IntRange(1, 9).Draw(t, "n")
	if kind == pv.AllowancesList {
		return fmt.Sprintf("allowances:\n  - {plan: a, requestsPerSecond: %d, burst: 1}\n", n)
	}
	return fmt.Sprintf("plans:\n  - {name: a, customer: c, service: s, class: urgent, retryLimit: %d}\n", n)
}

// publish appends a change based on the list version that one follower has.
func (m *model) publish(t *rapid.T) {
	c := m.anyFollower(t)
	kind := rapid.SampledFrom([]pv.ListKind{pv.PlansList, pv.AllowancesList}).Draw(t, "kind")
	state, _ := c.State()
	r := Record{ID: "x", Change: &Change{List: kind, Amends: state.listOf(kind).Version, Text: m.listText(t, kind)}}
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		m.append(r)
	}
}

func (m *model) anyFollower(t *rapid.T) *Core {
	return m.followers[rapid.IntRange(0, len(m.followers)-1).Draw(t, "follower")]
}

func (m *model) checkpoint(t *rapid.T) {
	p, ok := m.anyFollower(t).TakeCheckpoint()
	if ok {
		m.delayed = append(m.delayed, Record{ID: "p", Checkpoint: &p})
	}
}

func (m *model) appendDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late")
	r := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	if m.overstate {
		end, _ := m.log.Read(context.Background(), Stream, 1<<40, 1) // beyond the end: only Next is needed
		r.Checkpoint.Through = end.Next - 1
		r.Checkpoint.State.Next = end.Next
	}
	m.append(r)
}

func (m *model) check() {
	for i, c := range m.followers {
		version := NoVersion
		if c.Configuration() != nil {
			version = c.Configuration().Version
		}
		if version < m.versions[i] {
			m.t.Fatalf("follower %d: configuration version decreased from %d to %d", i, m.versions[i], version)
		}
		m.versions[i] = version
		state, known := c.State()
		want, _ := m.oracle.State()
		if known && state.Next == want.Next && state != want {
			m.t.Fatalf("follower %d: got state %+v at offset %d, want %+v", i, state, state.Next, want)
		}
	}
}

func runModel(t *rapid.T, overstate bool, steps *int) {
	m := &model{t: t, log: standin.NewLog(), oracle: New(), overstate: overstate}
	for range 4 {
		m.followers = append(m.followers, New())
		m.versions = append(m.versions, NoVersion)
	}
	m.read(m.oracle)
	countSteps := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			*steps++
			f(t)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"":           func(*rapid.T) { m.check() },
		"publish":    countSteps(m.publish),
		"read":       countSteps(func(t *rapid.T) { m.read(m.anyFollower(t)) }),
		"read again": countSteps(func(t *rapid.T) { m.read(m.anyFollower(t)) }),
		"checkpoint": countSteps(m.checkpoint),
		"land":       countSteps(m.appendDelayed),
		"land more":  countSteps(m.appendDelayed),
		"adopt": countSteps(func(t *rapid.T) {
			if s, ok := m.anyFollower(t).State(); ok {
				m.anyFollower(t).Adopt(s)
			}
		}),
		"restart": countSteps(func(t *rapid.T) {
			i := rapid.IntRange(0, len(m.followers)-1).Draw(t, "restart")
			m.followers[i] = New()
			m.versions[i] = NoVersion
		}),
		"retention": countSteps(func(t *rapid.T) {
			m.log.SetFaults(standin.LogFaults{RetainedRecords: rapid.IntRange(1, 6).Draw(t, "keep")})
		}),
	})
}

func TestConfigurationNeverReverts(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) { runModel(t, false, &steps) })
	t.Logf("%d steps", steps)
}

func TestLyingCheckpointIsCaught(t *testing.T) {
	steps := 0
	caught, failure := fuzz.FindsFailure(func(t *rapid.T) { runModel(t, true, &steps) })
	if !caught {
		t.Errorf("got caught=%v, want true", caught)
	}
	line, _, _ := strings.Cut(failure, "\n")
	t.Logf("%.200s", line)
}

func TestFirstOfConcurrentChangesWins(t *testing.T) {
	c := New()
	change := func(amends pv.Offset, burst string) []byte {
		data, err := Encode(Record{Change: &Change{List: pv.AllowancesList, Amends: amends,
			Text: "allowances:\n  - {plan: a, burst: " + burst + "}\n"}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	results := c.Feed(pv.Batch{Records: [][]byte{change(-1, "1"), change(-1, "2"), change(0, "3")}, Next: 3})
	want := []Verdict{Accepted, Conflict, Accepted}
	for i, r := range results {
		if r.Verdict != want[i] {
			t.Errorf("change %d: got %s, want %s", i, r.Verdict, want[i])
		}
	}
	if got, want := c.Configuration().Allowances.Allowances[0].Burst, int64(3); got != want {
		t.Errorf("burst: got %d, want %d", got, want)
	}
}

// A checkpoint or a peer's state with a version that no change has kept every later change
// from taking effect; so did a negative offset, from which the log can't be read.
func TestOddStates(t *testing.T) {
	for name, state := range map[string]string{
		"version too high":     `{"plans":{"version":9223372036854775807},"allowances":{"version":-1},"next":5}`,
		"version after offset": `{"plans":{"version":5},"allowances":{"version":-1},"next":5}`,
		"negative version":     `{"plans":{"version":-2},"allowances":{"version":-1},"next":5}`,
		"negative offset":      `{"plans":{"version":-1},"allowances":{"version":-1},"next":-5}`,
	} {
		s, err := DecodeState([]byte(state))
		if err != nil {
			t.Fatal(err)
		}
		if New().Adopt(s) {
			t.Errorf("%s: got a peer's state adopted, want it refused", name)
		}
		c := New()
		c.Feed(pv.Batch{First: 5, Records: [][]byte{[]byte(`{"checkpoint":{"through":4,"state":` + state + `}}`)}, Next: 6})
		if got, complete := c.State(); complete {
			t.Errorf("%s: got state %+v, want none", name, got)
		}
	}
}

// FuzzStream checks that a follower doesn't panic on any record, whether it starts with the
// stream or after its first records, and that its configuration is the one of the lists.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		`{"change":null,"checkpoint":{"through":9223372036854775807}}`, `{"checkpoint":{"through":4,"state":{"next":-5,"plans":{"version":9223372036854775807,"text":"` + strings.Repeat("[", 5000) + `"}}}}`,
		`{"checkpoint":{"through":4,"state":null}}`, `{"checkpoint":` + strings.Repeat("[", 10010), `null`, "\xff",
	} {
		f.Add([]byte(seed), []byte(`{}`))
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		for _, first := range []pv.Offset{0, 5} {
			c := New()
			c.Feed(pv.Batch{First: first, Records: [][]byte{a, b, a}, Next: first + 3})
			if next := c.Next(); next < 0 {
				t.Errorf("got next offset %d, want one in the stream", next)
			}
			if s, err := DecodeState(a); err == nil {
				c.Adopt(s)
			}
			c.Feed(pv.Batch{First: 20, Records: [][]byte{b, a}, Next: 22})
		}
	})
}
