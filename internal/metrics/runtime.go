package metrics

import runtimemetrics "runtime/metrics"

// The names of the values that UpdateRuntime reads.
const (
	totalMemory    = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
	goroutines     = "/sched/goroutines:goroutines"
)

// UpdateRuntime sets the gauges on the Go runtime of this process. It does not stop other goroutines.
func (s *Set) UpdateRuntime() {
	samples := []runtimemetrics.Sample{{Name: totalMemory}, {Name: releasedMemory}, {Name: goroutines}}
	runtimemetrics.Read(samples)
	s.MemoryInUse.Set(int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()))
	s.Goroutines.Set(int64(samples[2].Value.Uint64()))
}
