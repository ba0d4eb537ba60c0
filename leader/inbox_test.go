package leader

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	pv "persimmonvalve"
)

var (
	testJob   = pv.Job{ID: "j", Payload: "<x>", Steps: []pv.Step{{Count: 2, Size: pv.Resources{MilliCores: 500}, Estimate: time.Second}}}
	testQueue = pv.Queue{Name: "q", Service: "s", MaxAttempts: 3, DeadlineFactor: 1.5, Grace: time.Second}
)

func encodeJSON(t testing.TB, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestInboxJobRoundTrip(t *testing.T) {
	body := encodeJSON(t, testJob)
	record, err := InboxJobRecord("j", body, encodeJSON(t, testQueue))
	if err != nil {
		t.Fatal(err)
	}
	job, raw, queue, ok := decodeInboxJob("j", record.Value)
	if !ok || !reflect.DeepEqual(job, testJob) || string(raw) != string(body) || queue != testQueue {
		t.Errorf("got %+v %s %+v %t, want %+v %s %+v", job, raw, queue, ok, testJob, body, testQueue)
	}
}

// One odd job in the inbox: a job that passed every check but was too large for a record
// of its own would hold up the commits of each leader, and settings of a queue that no
// operator sets decided which jobs come first.
func TestOddInboxJobs(t *testing.T) {
	job, queue := string(encodeJSON(t, testJob)), string(encodeJSON(t, testQueue))
	for name, value := range map[string]string{
		"too large":         `{"job":` + strings.Replace(job, `{`, `{"x":"`+strings.Repeat("x", pv.MaxJobEncodedBytes)+`",`, 1) + `,"queue":` + queue + `}`,
		"deep":              `{"job":` + strings.Replace(job, `{`, `{"x":`+strings.Repeat("[", 100000)+strings.Repeat("]", 100000)+`,`, 1) + `,"queue":` + queue + `}`,
		"factor":            `{"job":` + job + `,"queue":{"name":"q","deadlineFactor":1e308}}`,
		"negative factor":   `{"job":` + job + `,"queue":{"name":"q","deadlineFactor":-1}}`,
		"factor overflows":  `{"job":` + job + `,"queue":{"name":"q","deadlineFactor":1e400}}`,
		"grace":             `{"job":` + job + `,"queue":{"name":"q","grace":9223372036854775807}}`,
		"negative grace":    `{"job":` + job + `,"queue":{"name":"q","grace":-1}}`,
		"priority":          `{"job":` + job + `,"queue":{"name":"q","priority":9223372036854775807}}`,
		"lowest priority":   `{"job":` + job + `,"queue":{"name":"q","priority":-9223372036854775808}}`,
		"count too large":   `{"job":{"id":"j","steps":[{"count":9223372036854775808}]},"queue":` + queue + `}`,
		"predecessor":       `{"job":{"id":"j","steps":[{"count":1,"after":[5]}]},"queue":` + queue + `}`,
		"other id":          `{"job":` + strings.Replace(job, `"j"`, `"k"`, 1) + `,"queue":` + queue + `}`,
		"no queue":          `{"job":` + job + `}`,
		"other type":        `[]`,
		"not JSON":          "\xff",
		"job is a string":   `{"job":"x","queue":` + queue + `}`,
		"queue is a string": `{"job":` + job + `,"queue":"q"}`,
	} {
		if job, _, queue, ok := decodeInboxJob("j", []byte(value)); ok {
			t.Errorf("%s: got job %s and queue %+v, want none", name, job.ID, queue)
		}
	}
}

// FuzzInboxJobs checks that a record decodes to a job and a queue within their limits, or
// to none.
func FuzzInboxJobs(f *testing.F) {
	sound, err := InboxJobRecord("j", encodeJSON(f, testJob), encodeJSON(f, testQueue))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound.Value)
	for _, seed := range []string{`{"job":{"id":"j","steps":[{"count":1,"after":[5]}]},"queue":{}}`, `{"job":{"id":"j","steps":[{"count":10000}],"repeats":1000000000},"queue":{"deadlineFactor":1e308}}`, `{"job":` + strings.Repeat("[", 20000), `null`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		job, raw, queue, ok := decodeInboxJob("j", data)
		if ok && (job.Check() != "" || queue.Check() != "" || job.ID != "j" || len(raw) > pv.MaxJobEncodedBytes) {
			t.Errorf("%q: got %+v %+v, want none", data, job, queue)
		}
	})
}
