package share

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	correctionWindow = 10 * time.Second // queues build up and drain within seconds
	correctionPrior  = 2                // exact estimates that are added to the recent ones, as one relay sees few requests of a route
	minCorrection    = 0.4
	maxCorrection    = 2.5
	usualQuantile    = 0.6
	// risingQuantile applies where it says that estimates are too short, as a request that
	// is late has taken capacity from others, while a rejected one may come back.
	risingQuantile = 0.8
	tailWindow     = 10 * time.Second
	minTailSamples = 5   // below this, the fallback is used
	maxTailShare   = 0.5 // of the objective, so that slow engines alone don't reject all requests
	itemsWeight    = 0.1 // of the newest request in the mean numbers of items
	windowSize     = 64
	durationWindow = time.Minute
	minDurations   = 10 // below this, a high quantile is that of a single request
)

// Quantiles of the time from the end of the stages to the first event.
const (
	// TailForLimit is used in limits. A request is rejected only if it would hardly be in
	// time: a higher quantile rejects many that would have been.
	TailForLimit = 0.25
	// TailForDue is used in due times, by which items of different routes are ordered. A
	// higher quantile would let the routes whose engines vary most pass the others.
	TailForDue = 0.5
)

// window holds the newest values and when they were recorded.
type window[T ~int64 | ~float64] struct {
	values [windowSize]T
	at     [windowSize]time.Time
	n      int // number of values recorded so far
}

func (w *window[T]) add(now time.Time, v T) {
	w.values[w.n%windowSize], w.at[w.n%windowSize] = v, now
	w.n++
}

// since appends to out the values that were recorded after start.
func (w *window[T]) since(start time.Time, out []T) []T {
	for i := range min(w.n, windowSize) {
		if w.at[i].After(start) {
			out = append(out, w.values[i])
		}
	}
	return out
}

// quantile sorts values and interpolates between the two that are closest to the quantile
// q. values must not be empty.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	slices.Sort(values)
	at := q * float64(len(values)-1)
	i := int(at)
	if i+1 == len(values) {
		return values[i]
	}
	return values[i] + T((at-float64(i))*float64(values[i+1]-values[i]))
}

// History tells how the recent requests of one route went. The zero value is ready to use.
// It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	delays window[float64]       // actual delays by queued items, in multiples of the estimated ones
	tails  window[time.Duration] // times from the end of the stages to the first event
	items  []float64             // mean numbers of items, by stage
	whole  window[time.Duration] // times from the arrival of a whole request to the end of its response
}

// RecordItems records the numbers of items of a request, by stage.
func (h *History) RecordItems(counts []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, n := range counts {
		if i == len(h.items) {
			h.items = append(h.items, float64(n))
		}
		h.items[i] += itemsWeight * (float64(n) - h.items[i])
	}
}

// Items returns the mean numbers of items of the route's requests, by stage. It is 1 for
// stages that no request has had yet.
func (h *History) Items(stages int) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]int, stages)
	for i := range out {
		out[i] = 1
		if i < len(h.items) {
			out[i] = int(math.Round(h.items[i]))
		}
	}
	return out
}

// RecordStages records the time that the stages of a request were estimated to take when it
// was admitted, with the items queued then and with none, and the time that they took. For
// stages that expired, that is the time until then.
func (h *History) RecordStages(now time.Time, estimated, idle, actual time.Duration) {
	if estimated-idle < minQueueDelay {
		return // hardly a delay that could have been wrong
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delays.add(now, float64(actual-idle)/float64(estimated-idle))
}

// Correct returns the estimated time of the stages of a request of the route, corrected by
// how the delays by queued items that were estimated lately compare with the actual ones.
// An estimate counts all queued items; those of routes with a later due time are passed.
func (h *History) Correct(now time.Time, estimated, idle time.Duration) time.Duration {
	prior := make([]float64, 0, correctionPrior+windowSize)
	for range correctionPrior {
		prior = append(prior, 1)
	}
	h.mu.Lock()
	ratios := h.delays.since(now.Add(-correctionWindow), prior)
	h.mu.Unlock()
	c := quantile(ratios, usualQuantile)
	if q := quantile(ratios, risingQuantile); q > 1 {
		c = q
	}
	c = max(minCorrection, min(maxCorrection, c))
	return idle + time.Duration(c*float64(max(0, estimated-idle)))
}

// RecordTail records the time from the end of the stages of a request to its first event,
// or to its response if it isn't a stream.
func (h *History) RecordTail(now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tails.add(now, d)
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

// RecordDuration records the time from the arrival of a whole request to the end of its
// response.
func (h *History) RecordDuration(now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.whole.add(now, d)
}

// Duration returns the quantile q of the recent times from the arrival of a whole request to
// the end of its response, and false if there are too few of them.
func (h *History) Duration(now time.Time, q float64) (time.Duration, bool) {
	h.mu.Lock()
	durations := h.whole.since(now.Add(-durationWindow), make([]time.Duration, 0, windowSize))
	h.mu.Unlock()
	if len(durations) < minDurations {
		return 0, false
	}
	return quantile(durations, q), true
}
