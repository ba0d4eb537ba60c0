package jsonprune

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestPrune(t *testing.T) {
	for in, want := range map[string]string{
		`[1,[2,[3]],{"a":{"b":"]"}}]`: `[1,[2,null],{"a":null}]`,
		`{"a":"[[[\"[[["}`:            `{"a":"[[[\"[[["}`,
		`[[[`:                         `[[[`,
		`["\\",[["]"]],"x"]`:          `["\\",[null],"x"]`,
		`}}]`:                         `}}]`,
		`"`:                           `"`,
		``:                            ``,
	} {
		if got := string(Prune([]byte(in), 2)); got != want {
			t.Errorf("%s: got %s, want %s", in, got, want)
		}
	}
	deep := strings.Repeat("[", 1e6) + strings.Repeat("]", 1e6)
	if got := string(Prune([]byte(`["a",`+deep+`]`), 1)); got != `["a",null]` {
		t.Errorf("got %d bytes, want the deep value replaced", len(got))
	}
}

// FuzzPrune checks that a valid document remains valid, that its result is no deeper than
// demanded, and that a document that is shallow enough is unchanged.
func FuzzPrune(f *testing.F) {
	for _, seed := range []string{`[1,[2,[3]],{"a":{"b":"]"}}]`, `["\\",[["]"]],"x"]`, `[[[`, `}`, `"\`, strings.Repeat("[", 20000) + strings.Repeat("]", 20000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got := Prune(data, 3)
		if json.Valid(data) && !json.Valid(got) {
			t.Errorf("%q: got invalid JSON %q", data, got)
		}
		if json.Valid(got) && string(Prune(got, 3)) != string(got) {
			t.Errorf("%q: got another result for the result %q", data, got)
		}
		if len(got) > len(data)+2*len(data) {
			t.Errorf("got %d bytes for %d", len(got), len(data))
		}
	})
}
