package connector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	pv "persimmonvalve"
)

const (
	firstWorker  = `{"id":"w1","address":"10.0.0.1:80","place":{"zone":"z"},"capacity":{"milliCores":1000,"memoryMB":1}}`
	secondWorker = `{"id":"w2","address":"10.0.0.2:80","capacity":{"milliCores":1000}}`
)

// One odd entry among those of the workers failed the whole list, again and again, so that
// cells went on with the last one that they had read.
func TestOddEntryAmongWorkers(t *testing.T) {
	deep := strings.Repeat("[", 100000) + strings.Repeat("]", 100000)
	for name, odd := range map[string]string{
		"deep": deep, "deep field": `{"id":"odd","address":` + deep + `}`,
		"port out of range":  `{"id":"odd","address":"10.0.0.3:65536","capacity":{"milliCores":1}}`,
		"port zero":          `{"id":"odd","address":"10.0.0.3:0"}`,
		"no address":         `{"id":"odd"}`,
		"number too large":   `{"id":"odd","address":"10.0.0.3:80","capacity":{"milliCores":9223372036854775808}}`,
		"capacity too large": `{"id":"odd","address":"10.0.0.3:80","capacity":{"milliCores":9223372036854775807}}`,
		"capacity negative":  `{"id":"odd","address":"10.0.0.3:80","capacity":{"memoryMB":-1}}`,
		"capacity overflows": `{"id":"odd","address":"10.0.0.3:80","capacity":{"slots":1e400}}`,
		"no id":              `{"address":"10.0.0.3:80"}`,
		"id taken":           `{"id":"w1","address":"10.0.0.3:80"}`,
		"id of another type": `{"id":5,"address":"10.0.0.3:80"}`,
		"number":             `5`, "null": `null`, "string": `"w"`, "list": `[{}]`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "["+firstWorker+","+odd+","+secondWorker+"]")
		}))
		got, err := NewFleet(NewHTTPClient(10*time.Second, nil), server.URL).Workers(context.Background())
		server.Close()
		if err != nil || len(got) != 2 || got[0].ID != "w1" || got[0].Address.Port() != 80 || got[0].Address.Addr().String() != "10.0.0.1" || got[1].ID != "w2" {
			t.Errorf("%s: got %+v, %v, want w1 and w2", name, got, err)
		}
	}
}

// FuzzWorkers checks that a sound entry beside any JSON is kept, and that the result is the
// same after encoding and decoding.
func FuzzWorkers(f *testing.F) {
	for _, seed := range []string{secondWorker, `5`, `null`, `{"id":"odd","address":"10.0.0.3:65536"}`, `{"id":"odd","address":"[::1%25]:1"}`, `{"id":"w","capacity":{"milliCores":1e400}}`, strings.Repeat("[", 20000) + strings.Repeat("]", 20000), `]`, `{},`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := decodeWorkers([]byte("[" + firstWorker + "," + string(data) + "]"))
		if err != nil {
			if json.Valid(data) {
				t.Errorf("%q: got %v, want the entry beside it", data, err)
			}
			return
		}
		if len(got) == 0 || got[0].ID != "w1" {
			t.Errorf("%q: got %+v, want w1 first", data, got)
		}
		ids := map[pv.WorkerID]bool{}
		for _, w := range got {
			if !usable(w) || ids[w.ID] {
				t.Errorf("%q: got %+v, want no such worker", data, w)
			}
			ids[w.ID] = true
		}
		encoded, err := json.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := decodeWorkers(encoded); err != nil || !reflect.DeepEqual(again, got) {
			t.Errorf("%q: got %+v, %v, want %+v", data, again, err, got)
		}
	})
}
