package memory

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two readings of the size of the heap.
const sampleInterval = 5 * time.Millisecond

// PeakGrowth returns by how many bytes the heap of this process grows at most while run runs.
func PeakGrowth(run func()) uint64 {
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	peak := uint64(0)
	for {
		select {
		case <-done:
			return peak
		case <-time.After(sampleInterval):
			runtime.ReadMemStats(&during)
			if during.HeapAlloc > before.HeapAlloc {
				peak = max(peak, during.HeapAlloc-before.HeapAlloc)
			}
		}
	}
}
