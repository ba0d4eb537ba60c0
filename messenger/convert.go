package messenger

// This file defines how workers' reports and orders stand in frames.

import (
	"net/netip"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
)

// Report is an agent's report as it came.
type Report struct {
	Worker       pv.WorkerState
	Deregistered bool
	Polled       bool // the fields below were filled by a poll
	Token        int64
	Runs         pv.WorkerRuns
	Absent       []pv.RunRef
	EndsAfter    int64 // Runs.Ended holds every listed end with a higher number
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

// EncodeReport returns the frame's form of a report.
func EncodeReport(r Report) *wire.WorkerReport {
	w := r.Worker
	return &wire.WorkerReport{
		Worker: string(w.ID), Life: w.Incarnation, Service: w.Service, Zone: w.Place.Zone, Rack: w.Place.Rack, Labels: w.Labels,
		Millicores: w.Capacity.MilliCores, MemoryMb: w.Capacity.MemoryMB, Accelerators: w.Capacity.Accelerators,
		Leaving: w.Draining, TimeLeftMs: w.DrainTimeLeft.Milliseconds(), Departed: r.Deregistered,
		Looked: r.Polled, Token: r.Token, ClockMs: r.Runs.Clock.Milliseconds(),
		Running: mapSlice(r.Runs.Running, func(s pv.RunStatus) *wire.RunStatus {
			return &wire.RunStatus{Run: encodeRun(s.Run), Checkpoint: s.Checkpoint, Percent: int32(s.Percent), Figure: s.Measured}
		}),
		Ended: mapSlice(r.Runs.Ended, func(e pv.RunEnd) *wire.RunEnd {
			return &wire.RunEnd{Number: e.Number, Run: encodeRun(e.Run), Kind: string(e.Kind), Checkpoint: e.Checkpoint}
		}),
		Gone: mapSlice(r.Absent, encodeRun), EndsAfter: r.EndsAfter, Address: encodeAddress(w.Address),
	}
}

func encodeAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// decodeAddress returns no address for text that isn't one: nothing follows
// from it then.
func decodeAddress(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// DecodeReport reads a report.
func DecodeReport(r *wire.WorkerReport) Report {
	return Report{
		Worker: pv.WorkerState{
			ID: pv.WorkerID(r.Worker), Service: r.Service, Incarnation: r.Life, Labels: r.Labels,
			Place:    pv.Place{Zone: r.Zone, Rack: r.Rack},
			Capacity: pv.Resources{MilliCores: r.Millicores, MemoryMB: r.MemoryMb, Accelerators: r.Accelerators},
			Draining: r.Leaving, DrainTimeLeft: time.Duration(r.TimeLeftMs) * time.Millisecond,
			Address: decodeAddress(r.Address),
		},
		Deregistered: r.Departed, Polled: r.Looked, Token: r.Token,
		Runs: pv.WorkerRuns{
			Incarnation: r.Life, Clock: time.Duration(r.ClockMs) * time.Millisecond,
			Running: mapSlice(r.Running, func(s *wire.RunStatus) pv.RunStatus {
				return pv.RunStatus{Run: decodeRun(s.Run), Checkpoint: s.Checkpoint, Percent: int(s.Percent), Measured: s.Figure}
			}),
			Ended: mapSlice(r.Ended, func(e *wire.RunEnd) pv.RunEnd {
				return pv.RunEnd{Number: e.Number, Run: decodeRun(e.Run), Kind: pv.EndKind(e.Kind), Checkpoint: e.Checkpoint}
			}),
		},
		Absent: mapSlice(r.Gone, decodeRun), EndsAfter: r.EndsAfter,
	}
}

// EncodeOrders returns the frame's form of orders.
func EncodeOrders(id pv.WorkerID, life int64, a pv.Authority, acknowledged int64, whole bool, starts []pv.RunOrder, stops []pv.RunRef) *wire.WorkerOrders {
	return &wire.WorkerOrders{
		Worker: string(id), Life: life, Token: a.Token, UntilMs: a.Until.Milliseconds(), Acknowledged: acknowledged, Whole: whole,
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

// EncodeCoefficients returns the frame's form of interference coefficients.
func EncodeCoefficients(presses []pv.InterferenceCoefficient) []*wire.Press {
	return mapSlice(presses, func(p pv.InterferenceCoefficient) *wire.Press {
		return &wire.Press{Filler: p.Pair.Filler, Serving: p.Pair.Serving, PerCore: p.PerCore}
	})
}

// DecodeCoefficient reads one interference coefficient of orders.
func DecodeCoefficient(p *wire.Press) pv.InterferenceCoefficient {
	return pv.InterferenceCoefficient{Pair: pv.ImagePair{Filler: p.Filler, Serving: p.Serving}, PerCore: p.PerCore}
}

// DecodeStart reads one start of orders.
func DecodeStart(s *wire.RunStart) pv.RunOrder {
	return pv.RunOrder{
		Run: decodeRun(s.Run), Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		FirstSend: s.First, Filler: s.Filler, LatencyTarget: time.Duration(s.LatencyTargetMs) * time.Millisecond,
		Image: s.Image, MilliCores: s.Millicores,
	}
}

// DecodeRun reads a reference to a run.
func DecodeRun(r *wire.Run) pv.RunRef { return decodeRun(r) }
