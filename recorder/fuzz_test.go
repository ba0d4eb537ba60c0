package recorder

import (
	"testing"

	pv "persimmonvalve"
)

// FuzzRecords checks that arbitrary records don't make a reader panic, that all
// accounts stay balanced, and that a reader of one batch and a reader of single
// records reach the same state.
func FuzzRecords(f *testing.F) {
	for _, data := range taskRecords(f, 2, 4) {
		f.Add(data, data)
	}
	f.Add([]byte(`{"term":1,"holder":"h","seq":1,"snapshot":{"through":-1}}`), []byte(`{`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		claim := []byte(`{"term":1,"holder":"h","claim":{}}`)
		records := [][]byte{claim, a, b, a}
		first, second := New(), New()
		first.Feed(pv.Batch{Records: records, Next: 4})
		for i, r := range records {
			second.Feed(pv.Batch{First: pv.Offset(i), Records: [][]byte{r}, Next: pv.Offset(i + 1)})
		}
		if got, want := encodeState(t, second), encodeState(t, first); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		for _, account := range first.Accounts {
			if imbalance := account.Imbalance(); imbalance != 0 {
				t.Errorf("imbalance: got %d, want 0", imbalance)
			}
		}
	})
}
