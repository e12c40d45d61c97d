// Package meter keeps statistics in bounded memory: median latencies for
// scheduling decisions, histograms of teams for operators, and the cost of each
// stage.
package meter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowParts       = 4 // number of intervals between rotations that a Window covers
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000 // 2 min
	significantDigits = 2
	minSamples        = 16 // for a median
)

// Window is a sliding window of latencies that covers the last few intervals
// between rotations. The zero value is ready to use. It is safe for concurrent use;
// Median doesn't block.
type Window struct {
	mu     sync.Mutex
	hist   *hdrhistogram.WindowedHistogram
	median atomic.Int64 // µs, at the last rotation; 0: unknown
}

// Record adds one latency. Latencies above 2 minutes count as 2 minutes.
func (w *Window) Record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.initLocked()
	v := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// The value is within the histogram's bounds, so this can't fail.
	_ = w.hist.Current.RecordValue(v)
}

// initLocked creates the histogram at the first use. mu must be held.
func (w *Window) initLocked() {
	if w.hist == nil {
		w.hist = hdrhistogram.NewWindowed(windowParts, minLatencyMicros, maxLatencyMicros, significantDigits)
	}
}

// Rotate updates the median and drops the oldest part of the window. If the
// window has too few samples, the median becomes unknown.
func (w *Window) Rotate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.initLocked()
	merged := w.hist.Merge()
	if merged.TotalCount() >= minSamples {
		w.median.Store(merged.ValueAtQuantile(50))
	} else {
		w.median.Store(0)
	}
	w.hist.Rotate()
}

// Median returns the median at the last rotation, or 0 if it is unknown.
func (w *Window) Median() time.Duration {
	return time.Duration(w.median.Load()) * time.Microsecond
}
