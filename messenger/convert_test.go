package messenger

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
)

// Times of a report and coefficients of orders that no process measures overflowed
// durations, or made every limit that is computed from them no number.
func TestOddNumbersInFrames(t *testing.T) {
	for _, ms := range []int64{math.MaxInt64, math.MinInt64, 18446744073710, -18446744073710} {
		r := DecodeReport(&wire.WorkerReport{ClockMs: ms, TimeLeftMs: ms})
		target := DecodeStart(&wire.RunStart{LatencyTargetMs: ms}).LatencyTarget
		for _, got := range []time.Duration{r.Runs.Clock, r.Worker.DrainTimeLeft, target} {
			if (got > 0) != (ms > 0) || max(got, -got) < 365*24*time.Hour || (got+got > 0) != (ms > 0) {
				t.Errorf("%d ms: got %v, want a long duration of the same sign whose double is one too", ms, got)
			}
		}
	}
	for _, c := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		if got := DecodeCoefficient(&wire.Press{PerCore: c}).PerCore; got != pv.DefaultInterferenceCoefficient {
			t.Errorf("coefficient %g: got %g, want the default", c, got)
		}
	}
	if got := DecodeCoefficient(&wire.Press{PerCore: 0.7}).PerCore; got != 0.7 {
		t.Errorf("got %g, want 0.7", got)
	}
}

// FuzzReports checks that a frame of a link is read, and its body converted, without a
// panic, and that a report is the same after encoding and decoding.
func FuzzReports(f *testing.F) {
	add := func(frame *wire.LinkFrame) {
		var buffer bytes.Buffer
		if err := Write(&buffer, frame); err != nil {
			f.Fatal(err)
		}
		f.Add(buffer.Bytes())
	}
	run := &wire.Run{Job: "j", Occurrence: -1, Step: math.MaxInt32, Index: math.MinInt32, Attempt: 1}
	add(&wire.LinkFrame{Body: &wire.LinkFrame_Report{Report: &wire.WorkerReport{
		Worker: "w", Life: math.MaxInt64, Millicores: -1, MemoryMb: math.MaxInt64, TimeLeftMs: math.MinInt64, ClockMs: math.MaxInt64, Address: "10.0.0.1:65536",
		Running: []*wire.RunStatus{{Run: run, Percent: math.MaxInt32}, {}}, Ended: []*wire.RunEnd{{Run: run, Number: math.MaxInt64}, {}}, Gone: []*wire.Run{run, {}},
	}}})
	add(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: &wire.WorkerOrders{
		UntilMs: math.MaxInt64, Starts: []*wire.RunStart{{Run: run, LatencyTargetMs: math.MaxInt64, Millicores: -1}, {}}, Stops: []*wire.Run{{}}, Presses: []*wire.Press{{PerCore: math.NaN()}},
	}}})
	add(&wire.LinkFrame{Body: &wire.LinkFrame_Question{Question: &wire.Question{Body: []byte("[[[["), Policy: []byte(`{"name":1e400}`)}}})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &wire.LinkFrame{}
		if err := Read(bytes.NewReader(data), frame); err != nil {
			return
		}
		if o := frame.GetOrders(); o != nil {
			for _, s := range o.Starts {
				DecodeStart(s)
			}
			for _, r := range o.Stops {
				DecodeRun(r)
			}
			for _, p := range o.Presses {
				if c := DecodeCoefficient(p); !(c.PerCore >= 0 && c.PerCore <= maxCoefficient) {
					t.Errorf("got coefficient %g of %v", c.PerCore, p)
				}
			}
		}
		if r := frame.GetReport(); r != nil {
			report := DecodeReport(r)
			encoded, err := proto.Marshal(EncodeReport(report))
			if err != nil {
				t.Fatal(err)
			}
			again := &wire.WorkerReport{}
			if err := proto.Unmarshal(encoded, again); err != nil {
				t.Fatal(err)
			}
			if got := DecodeReport(again); !reflect.DeepEqual(got, report) {
				t.Errorf("got %+v, want %+v", got, report)
			}
		}
	})
}
