package messenger

// This file defines the conversion of reports and orders between the types of
// persimmonvalve and protobuf messages.

import (
	"math"
	"net/netip"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
)

// Report is a supervisor's report on its worker.
type Report struct {
	Worker       pv.WorkerState
	Deregistered bool
	Polled       bool  // the worker answered a poll, which filled Runs and EndsAbove
	FencingToken int64 // fencing token to which the report applies; 0 is none
	Runs         pv.WorkerRuns
	Absent       []pv.RunRef   // not on the worker, and can't start there any more under FencingToken
	FencedSince  time.Duration // if Polled: earlier reading of the worker's clock by which it refused calls meant for a former incarnation
	EndsAbove    int64         // Runs.Ended holds all unacknowledged ends with a higher sequence number
	Unanswered   bool          // the worker has stopped answering polls
	RecentStarts []pv.RunRef   // if Unanswered: runs that it had accepted shortly before
	Unlisted     int           // the first ones of RecentStarts, which no poll has listed
	BrokeOnStart bool          // if Unanswered: its connections broke right after a start
	Former       bool          // another worker or incarnation has replaced this one since
}

func encodeRun(r pv.RunRef) *wire.Run {
	return &wire.Run{Job: string(r.Task.Job), Occurrence: int32(r.Task.Occurrence), Step: int32(r.Task.Step), Index: int32(r.Task.Index), Attempt: int32(r.Attempt)}
}

func decodeRun(r *wire.Run) pv.RunRef {
	return pv.RunRef{
		Task:    pv.TaskRef{Job: pv.JobID(r.GetJob()), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep()), Index: int(r.GetIndex())},
		Attempt: int(r.GetAttempt()),
	}
}

func mapSlice[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

// EncodeReport converts a report to its protobuf message.
func EncodeReport(r Report) *wire.WorkerReport {
	w := r.Worker
	return &wire.WorkerReport{
		Worker: string(w.ID), Life: w.Incarnation, Service: w.Service, Zone: w.Location.Zone, Rack: w.Location.Rack, Labels: w.Labels,
		Millicores: w.Capacity.MilliCores, MemoryMb: w.Capacity.MemoryMB, Accelerators: w.Capacity.Accelerators,
		Leaving: w.Draining, TimeLeftMs: w.DrainTimeLeft.Milliseconds(), Departed: r.Deregistered,
		Looked: r.Polled, Token: r.FencingToken, ClockMs: r.Runs.Clock.Milliseconds(), FencedSinceMs: r.FencedSince.Milliseconds(),
		Running: mapSlice(r.Runs.Running, func(s pv.RunStatus) *wire.RunStatus {
			return &wire.RunStatus{Run: encodeRun(s.Run), Checkpoint: s.Checkpoint, Percent: int32(s.ProgressPercent), Figure: s.Measured}
		}),
		Ended: mapSlice(r.Runs.Ended, func(e pv.RunEnd) *wire.RunEnd {
			return &wire.RunEnd{Number: e.Sequence, Run: encodeRun(e.Run), Kind: string(e.Kind), Checkpoint: e.Checkpoint}
		}),
		Gone: mapSlice(r.Absent, encodeRun), EndsAfter: r.EndsAbove, Address: encodeAddress(w.Address),
		Unanswered: r.Unanswered, RecentStarts: mapSlice(r.RecentStarts, encodeRun), Former: r.Former, UnlistedStarts: int32(r.Unlisted), BrokeOnStart: r.BrokeOnStart,
		EndsTruncated: r.Runs.EndsTruncated,
	}
}

func encodeAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// decodeAddress returns the zero AddrPort, which means no address, for text that
// isn't a valid address.
func decodeAddress(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// maxMilliseconds bounds the times in messages: 73 years. Sums of two of them don't overflow
// a duration.
const maxMilliseconds = int64(math.MaxInt64 / time.Millisecond / 4)

// milliseconds returns n milliseconds as a duration, at most maxMilliseconds.
func milliseconds(n int64) time.Duration {
	return time.Duration(max(-maxMilliseconds, min(maxMilliseconds, n))) * time.Millisecond
}

// DecodeReport converts a report from its protobuf message.
func DecodeReport(r *wire.WorkerReport) Report {
	return Report{
		Worker: pv.WorkerState{
			ID: pv.WorkerID(r.Worker), Service: r.Service, Incarnation: r.Life, Labels: r.Labels,
			Location: pv.Location{Zone: r.Zone, Rack: r.Rack},
			Capacity: pv.Resources{MilliCores: r.Millicores, MemoryMB: r.MemoryMb, Accelerators: r.Accelerators},
			Draining: r.Leaving, DrainTimeLeft: milliseconds(r.TimeLeftMs),
			Address: decodeAddress(r.Address),
		},
		Deregistered: r.Departed, Polled: r.Looked, FencingToken: r.Token, FencedSince: milliseconds(r.FencedSinceMs),
		Runs: pv.WorkerRuns{
			Incarnation: r.Life, Clock: milliseconds(r.ClockMs), EndsTruncated: r.EndsTruncated,
			Running: mapSlice(r.Running, func(s *wire.RunStatus) pv.RunStatus {
				return pv.RunStatus{Run: decodeRun(s.Run), Checkpoint: s.Checkpoint, ProgressPercent: int(s.Percent), Measured: s.Figure}
			}),
			Ended: mapSlice(r.Ended, func(e *wire.RunEnd) pv.RunEnd {
				return pv.RunEnd{Sequence: e.Number, Run: decodeRun(e.Run), Kind: pv.EndKind(e.Kind), Checkpoint: e.Checkpoint}
			}),
		},
		Absent: mapSlice(r.Gone, decodeRun), EndsAbove: r.EndsAfter,
		Unanswered: r.Unanswered, RecentStarts: mapSlice(r.RecentStarts, decodeRun), Former: r.Former, Unlisted: int(r.UnlistedStarts), BrokeOnStart: r.BrokeOnStart,
	}
}

// EncodeOrders converts orders to their protobuf message. Full orders replace all
// earlier ones; otherwise they contain only the changes.
func EncodeOrders(id pv.WorkerID, incarnation int64, a pv.WorkerLease, acknowledged int64, full bool, starts []pv.RunOrder, stops []pv.RunRef) *wire.WorkerOrders {
	return &wire.WorkerOrders{
		Worker: string(id), Life: incarnation, Token: a.FencingToken, UntilMs: a.End.Milliseconds(), Acknowledged: acknowledged, Whole: full,
		Starts: mapSlice(starts, func(o pv.RunOrder) *wire.RunStart {
			return &wire.RunStart{
				Run: encodeRun(o.Run), Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
				First: o.FirstSend, Filler: o.Filler, LatencyTargetMs: o.LatencyTarget.Milliseconds(),
				Image: o.Image, Millicores: o.MilliCores,
			}
		}),
		Stops: mapSlice(stops, encodeRun),
	}
}

// EncodeCoefficients converts interference coefficients to protobuf messages.
func EncodeCoefficients(coefficients []pv.InterferenceCoefficient) []*wire.Press {
	return mapSlice(coefficients, func(p pv.InterferenceCoefficient) *wire.Press {
		return &wire.Press{Filler: p.Pair.Filler, Serving: p.Pair.Serving, PerCore: p.PerCore}
	})
}

// maxCoefficient bounds the interference coefficients in messages.
const maxCoefficient = 1000

// DecodeCoefficient converts an interference coefficient from its protobuf message. A
// value that no measurement gives becomes the default.
func DecodeCoefficient(p *wire.Press) pv.InterferenceCoefficient {
	perCore := p.PerCore
	if !(perCore >= 0 && perCore <= maxCoefficient) { // also if it isn't a number
		perCore = pv.DefaultInterferenceCoefficient
	}
	return pv.InterferenceCoefficient{Pair: pv.ImagePair{Filler: p.Filler, Serving: p.Serving}, PerCore: perCore}
}

// DecodeStart converts the start of a run from its protobuf message.
func DecodeStart(s *wire.RunStart) pv.RunOrder {
	return pv.RunOrder{
		Run: decodeRun(s.Run), Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		FirstSend: s.First, Filler: s.Filler, LatencyTarget: milliseconds(s.LatencyTargetMs),
		Image: s.Image, MilliCores: s.Millicores,
	}
}

// DecodeRun converts a reference to a run from its protobuf message.
func DecodeRun(r *wire.Run) pv.RunRef { return decodeRun(r) }
