package recorder

import (
	"testing"

	pv "persimmonvalve"
)

// FuzzRecords checks that no bytes in a stream make a reader panic, leave an
// account open, or bring two readers to different states.
func FuzzRecords(f *testing.F) {
	for _, data := range stream(f, 2, 4) {
		f.Add(data, data)
	}
	f.Add([]byte(`{"term":1,"holder":"h","seq":1,"snapshot":{"through":-1}}`), []byte(`{`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		claim := []byte(`{"term":1,"holder":"h","claim":{}}`)
		records := [][]byte{claim, a, b, a}
		one, two := New(), New()
		one.Feed(pv.Batch{Records: records, Next: 4})
		for i, r := range records {
			two.Feed(pv.Batch{First: pv.Offset(i), Records: [][]byte{r}, Next: pv.Offset(i + 1)})
		}
		if got, want := encodeState(t, two), encodeState(t, one); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		for _, account := range one.Accounts {
			if gap := account.Gap(); gap != 0 {
				t.Errorf("gap: got %d, want 0", gap)
			}
		}
	})
}
