// Package meter keeps bounded statistics: latency quantiles for decisions,
// histograms for operators, and the cost of each stage.
package meter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowParts  = 4
	lowestMicro  = 1
	highestMicro = 120_000_000 // 2 min
	digits       = 2
	minSamples   = 16
)

// Window holds the latencies of the last few rotations. The zero value is ready
// to use. It is safe for concurrent use; Quantile doesn't block.
type Window struct {
	mu     sync.Mutex
	hist   *hdrhistogram.WindowedHistogram
	median atomic.Int64 // µs, as of the last rotation
}

// Record adds one latency.
func (w *Window) Record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prepare()
	v := min(max(d.Microseconds(), lowestMicro), highestMicro)
	// The value is within the histogram's bounds, so this can't fail.
	_ = w.hist.Current.RecordValue(v)
}

func (w *Window) prepare() {
	if w.hist == nil {
		w.hist = hdrhistogram.NewWindowed(windowParts, lowestMicro, highestMicro, digits)
	}
}

// Rotate publishes the median and drops the oldest part of the window. A window
// with few samples publishes none.
func (w *Window) Rotate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prepare()
	all := w.hist.Merge()
	if all.TotalCount() >= minSamples {
		w.median.Store(all.ValueAtQuantile(50))
	} else {
		w.median.Store(0)
	}
	w.hist.Rotate()
}

// Median returns the median as of the last rotation, or 0 if it isn't known.
func (w *Window) Median() time.Duration {
	return time.Duration(w.median.Load()) * time.Microsecond
}
