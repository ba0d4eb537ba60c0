package runner

import (
	"runtime/debug"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonvalve/limiter"
)

// A process that isn't told its memory bounds its garbage by what it counts with.
func TestGarbageOfUnknownMemory(t *testing.T) {
	former := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(former)
	for memoryMB, wantBytes := range map[int64]int64{0: limiter.DefaultMemoryBytes, 64: 64 << 20} {
		NewLimiter(Common{MemoryMB: memoryMB}, zap.NewNop(), prometheus.NewRegistry())
		if got, want := debug.SetMemoryLimit(-1), int64(garbageShare*float64(wantBytes)); got != want {
			t.Errorf("%d MB: got a limit of %d bytes, want %d", memoryMB, got, want)
		}
	}
}
