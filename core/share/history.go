package share

import (
	"slices"
	"sync"
	"time"
)

const (
	marginQuantile = 0.8
	marginWindow   = 2 * time.Second // estimates depend on the load, which changes within seconds
	marginPrior    = 2               // estimates without error that are added to the recent ones, as one relay sees few requests of a route
	maxMarginShare = 0.5             // of the slack
	tailWindow     = 10 * time.Second
	minTailSamples = 5   // below this, the fallback is used
	maxTailShare   = 0.5 // of the objective, so that slow engines alone don't reject all requests
	windowSize     = 64
)

// Quantiles of the time from the end of the stages to the first event.
const (
	// TailForLimit is used in limits. Under overload, a limit that is shorter by some tens
	// of milliseconds admits as many requests, and fewer of them are late.
	TailForLimit = 0.75
	// TailForDue is used in due times, by which items of different routes are ordered. A
	// higher quantile would let the routes whose engines vary most pass the others.
	TailForDue = 0.5
)

// window holds the newest durations and when they were recorded.
type window struct {
	values [windowSize]time.Duration
	at     [windowSize]time.Time
	n      int // number of durations recorded so far
}

func (w *window) add(now time.Time, d time.Duration) {
	w.values[w.n%windowSize], w.at[w.n%windowSize] = d, now
	w.n++
}

// since appends to out the durations that were recorded after start.
func (w *window) since(start time.Time, out []time.Duration) []time.Duration {
	for i := range min(w.n, windowSize) {
		if w.at[i].After(start) {
			out = append(out, w.values[i])
		}
	}
	return out
}

// quantile sorts values and interpolates between the two that are closest to the quantile
// q. values must not be empty.
func quantile(values []time.Duration, q float64) time.Duration {
	slices.Sort(values)
	at := q * float64(len(values)-1)
	i := int(at)
	if i+1 == len(values) {
		return values[i]
	}
	return values[i] + time.Duration((at-float64(i))*float64(values[i+1]-values[i]))
}

// History tells how the recent requests of one route went. The zero value is ready to use.
// It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	errors window // actual less estimated times of stages
	tails  window // times from the end of the stages to the first event
}

// RecordStages records the time that the stages of a request were estimated to take when it
// was admitted, and the time that they took. For stages that expired, that is the time
// until then.
func (h *History) RecordStages(now time.Time, estimated, actual time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errors.add(now, actual-estimated)
}

// RecordTail records the time from the end of the stages of a request to its first event,
// or to its response if it isn't a stream.
func (h *History) RecordTail(now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tails.add(now, d)
}

// Margin returns by how much estimates are to be exceeded, given the time that requests of
// the route have for their stages.
func (h *History) Margin(now time.Time, slack time.Duration) time.Duration {
	h.mu.Lock()
	errs := h.errors.since(now.Add(-marginWindow), make([]time.Duration, marginPrior, marginPrior+windowSize))
	h.mu.Unlock()
	return max(0, min(quantile(errs, marginQuantile), time.Duration(maxMarginShare*float64(slack))))
}

// Tail returns the quantile q of the times from the end of the stages to the first event,
// or fallback if there are too few recent ones. objective is that of the route.
func (h *History) Tail(now time.Time, q float64, objective, fallback time.Duration) time.Duration {
	h.mu.Lock()
	tails := h.tails.since(now.Add(-tailWindow), make([]time.Duration, 0, windowSize))
	h.mu.Unlock()
	if len(tails) < minTailSamples {
		return fallback
	}
	return min(quantile(tails, q), time.Duration(maxTailShare*float64(objective)))
}
