package recorder

import (
	"testing"

	pv "persimmonvalve"
)

// feedSnapshot feeds a snapshot to a reader that starts after the stream's first record,
// and then the records.
func feedSnapshot(snapshot []byte, records ...[]byte) *Ledger {
	l := New()
	l.Feed(pv.Batch{First: 5, Records: append([][]byte{snapshot}, records...), Next: 6})
	return l
}

// A snapshot of another writer whose maps are null, or hold null, ended each reader that
// started from it, again and again.
func TestOddSnapshots(t *testing.T) {
	records := append(taskRecords(t, 1, 6), []byte(`{"term":1,"holder":"h","seq":90,"forget":{"before":"2999-01-01T00:00:00Z"}}`), []byte(`{"term":1,"holder":"h","seq":91,"cancel":{"task":"x"}}`))
	for name, state := range map[string]string{
		"null maps":    `{"term":1,"holder":"h","seq":0,"tasks":null,"requests":null,"accounts":null}`,
		"null task":    `{"term":1,"holder":"h","tasks":{"x":null,"t":null,"t-0":null}}`,
		"null request": `{"term":1,"holder":"h","requests":{"x":null,"k":null}}`,
		"null account": `{"term":1,"holder":"h","accounts":{"x":null,"p":null}}`,
		"account":      `{"term":1,"holder":"0199a3c0-7a1b-7cc0-8000-000000000001","accounts":{"dialTension":{"plan":"dialTension"}}}`,
		"null":         `null`,
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("got panic %v, want none", r)
				}
			}()
			l := feedSnapshot([]byte(`{"snapshot":{"through":4,"state":`+state+`}}`), records...)
			l.TakeSnapshot()
			l.SortedTasks()
		})
	}
}

// FuzzSnapshots checks that a reader that starts from any snapshot doesn't panic on the
// records that follow, and that its state can be copied.
func FuzzSnapshots(f *testing.F) {
	records := taskRecords(f, 2, 6)
	for _, seed := range []string{`null`, `{"tasks":{"x":null}}`, `{"accounts":{"dialTension":{}}}`, `{"term":9223372036854775807}`, `{"tasks":{"x":{"spec":{"id":"y"},"phase":"asleep"}},"used":{"w":{"slots":-1}}}`} {
		f.Add([]byte(seed), []byte(`{"term":1,"holder":"h","seq":91,"cancel":{"task":"x"}}`))
	}
	f.Fuzz(func(t *testing.T, state, record []byte) {
		snapshot := append(append([]byte(`{"snapshot":{"through":4,"state":`), state...), "}}"...)
		l := feedSnapshot(snapshot, append([][]byte{record}, records...)...)
		l.TakeSnapshot()
		l.SortedTasks()
	})
}
