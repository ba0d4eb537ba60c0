package announcer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	pv "persimmonvalve"
	"persimmonvalve/internal/fuzz"
)

func TestMain(m *testing.M) {
	fuzz.SetFlags()
	m.Run()
}

// The table doesn't depend on how the stream is divided into batches or on records
// read twice; a deregistered incarnation never becomes a member again; a lower
// term never replaces a higher one.
func TestTableUnderLateCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		inOrder, inPieces := NewTable(time.Hour), NewTable(time.Hour)
		deregistered := map[pv.Incarnation]bool{}
		highest := map[pv.StreamName]pv.Term{}
		var records [][]byte
		add := func(r Record) {
			data, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, data)
		}
		drawMember := func() pv.Member {
			n, incarnation := rapid.IntRange(0, 3).Draw(t, "name"), rapid.IntRange(0, 2).Draw(t, "life")
			return pv.Member{Name: fmt.Sprint(n), Role: pv.RoleAgent, Incarnation: pv.Incarnation(fmt.Sprintf("%d.%d", n, incarnation))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(*rapid.T) {
				m := drawMember()
				add(Record{Announce: &m})
			},
			"leave": func(*rapid.T) {
				m := drawMember()
				deregistered[m.Incarnation] = true
				add(Record{Deregistration: &Deregistration{Name: m.Name, Incarnation: m.Incarnation}})
			},
			"hold": func(t *rapid.T) {
				h := StreamHolder{Stream: "cell/a/0", Term: pv.Term(rapid.IntRange(1, 9).Draw(t, "term"))}
				highest[h.Stream] = max(highest[h.Stream], h.Term)
				add(Record{StreamHolder: &h})
			},
			"copy": func(t *rapid.T) {
				if len(records) > 0 {
					records = append(records, records[rapid.IntRange(0, len(records)-1).Draw(t, "record")])
				}
			},
			"read again": func(t *rapid.T) {
				from := rapid.IntRange(0, int(inPieces.Next())).Draw(t, "from")
				inPieces.Apply(now, pv.Batch{First: pv.Offset(from), Records: records[from:], Next: pv.Offset(len(records))})
			},
			"": func(t *rapid.T) {
				inOrder.Apply(now, pv.Batch{First: inOrder.Next(), Records: records[inOrder.Next():], Next: pv.Offset(len(records))})
				for _, m := range inOrder.Members("") {
					if deregistered[m.Incarnation] {
						t.Fatalf("incarnation %s has deregistered but is a member", m.Incarnation)
					}
				}
				if h, ok := inOrder.Holder("cell/a/0"); ok && h.Term != highest[h.Stream] {
					t.Fatalf("holder: got term %d, want %d", h.Term, highest[h.Stream])
				}
			},
		})
		inPieces.Apply(now, pv.Batch{First: inPieces.Next(), Records: records[inPieces.Next():], Next: pv.Offset(len(records))})
		if got, want := fmt.Sprint(inPieces.Members("")), fmt.Sprint(inOrder.Members("")); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

func TestSilentMemberExpires(t *testing.T) {
	table := NewTable(time.Minute)
	now := time.Unix(1000, 0)
	data, err := Encode(Record{Announce: &pv.Member{Name: "a", Incarnation: "1"}})
	if err != nil {
		t.Fatal(err)
	}
	table.Apply(now, pv.Batch{Records: [][]byte{data}, Next: 1})
	table.Apply(now.Add(2*time.Minute), pv.Batch{First: 1, Next: 1})
	if got, want := len(table.Members("")), 0; got != want {
		t.Errorf("members: got %d, want %d", got, want)
	}
}

// FuzzAnnouncements checks that a reader doesn't panic on any record, and that the records
// beside it are applied.
func FuzzAnnouncements(f *testing.F) {
	for _, seed := range []string{
		`{"announce":{"name":"odd","address":"10.0.0.1:65536"}}`, `{"announce":null,"hold":{"term":9223372036854775807}}`, `{"hold":{"stream":"s","term":9223372036854775808}}`,
		`{"leave":{"name":"a"}}`, `{"announce":` + strings.Repeat("[", 10010), `null`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sound := func(name string) []byte {
			encoded, err := Encode(Record{Announce: &pv.Member{Name: "sound " + name, Role: pv.RoleAgent, Incarnation: pv.Incarnation("sound " + name)}})
			if err != nil {
				t.Fatal(err)
			}
			return encoded
		}
		table := NewTable(time.Hour)
		table.Apply(time.Unix(1000, 0), pv.Batch{Records: [][]byte{sound("a"), data, sound("b")}})
		var r Record
		if json.Unmarshal(data, &r) == nil && (r.Announce != nil || r.Deregistration != nil) {
			return // it may name a sound member
		}
		if got := table.Members(""); len(got) != 2 {
			t.Errorf("%q: got %v, want the members beside it", data, got)
		}
	})
}
