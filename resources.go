package persimmonvalve

// This file defines the resources of tasks and workers. Amounts are integers, so
// that sums are exact and all readers of the log make the same decisions.

import "fmt"

// Resources is an amount of each resource that a worker has or a task needs.
type Resources struct {
	MilliCores   int64 `json:"milliCores,omitempty" yaml:"milliCores" validate:"gte=0"`
	MemoryMB     int64 `json:"memoryMB,omitempty" yaml:"memoryMB" validate:"gte=0"`
	Accelerators int64 `json:"accelerators,omitempty" yaml:"accelerators" validate:"gte=0"`
	Slots        int64 `json:"slots,omitempty" yaml:"slots" validate:"gte=0"` // units of a worker's limit on concurrent tasks
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Sub returns r minus o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(o.Scale(-1, 1))
}

// Scale returns r times num divided by den, rounded towards zero.
func (r Resources) Scale(num, den int64) Resources {
	return Resources{
		MilliCores:   r.MilliCores * num / den,
		MemoryMB:     r.MemoryMB * num / den,
		Accelerators: r.Accelerators * num / den,
		Slots:        r.Slots * num / den,
	}
}

// Fits reports whether no component of r exceeds that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators &&
		r.Slots <= capacity.Slots
}

// Negative reports whether any component is below zero.
func (r Resources) Negative() bool {
	return r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || r.Slots < 0
}

// DominantShare returns the dominant share of r: the maximum over all components of r
// divided by capacity. A component that capacity lacks counts as 1 if r needs it.
func (r Resources) DominantShare(capacity Resources) float64 {
	share := 0.0
	for _, p := range [...][2]int64{
		{r.MilliCores, capacity.MilliCores},
		{r.MemoryMB, capacity.MemoryMB},
		{r.Accelerators, capacity.Accelerators},
		{r.Slots, capacity.Slots},
	} {
		share = max(share, fraction(p[0], p[1]))
	}
	return share
}

func fraction(part, total int64) float64 {
	if part <= 0 {
		return 0
	}
	if total <= 0 {
		return 1
	}
	return float64(part) / float64(total)
}

// String formats r for messages to people.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cores, %d MB, %d accelerators, %d slots", r.MilliCores, r.MemoryMB, r.Accelerators, r.Slots)
}
