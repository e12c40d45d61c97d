package load

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// Latency contains quantiles of a latency.
type Latency struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// KindStats contains the statistics of one kind of request.
type KindStats struct {
	Key           string           `json:"key"`
	Sent          int              `json:"sent"`
	Ends          map[EndState]int `json:"ends"`
	Attainment    float64          `json:"attainment"` // fraction of the requests that were answered in time
	Latency       Latency          `json:"latency"`    // latency of complete responses
	FirstToken    Latency          `json:"first_token"`
	BetweenTokens Latency          `json:"between_tokens"`
	Refusals      map[string]int   `json:"refusals"` // refused attempts by outcome/cause
	Attempts      int              `json:"tries"`

	latency, firstToken, betweenTokens *hdrhistogram.Histogram
}

// Report contains the results of a run. It is safe for concurrent use.
type Report struct {
	Elapsed time.Duration // from the start to the end of the last request

	mu      sync.Mutex
	kinds   map[string]*KindStats // by Kind.Key
	results []Result
}

func newReport() *Report { return &Report{kinds: make(map[string]*KindStats)} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func (r *Report) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
	s := r.kinds[res.Kind.Key()]
	if s == nil {
		s = &KindStats{
			Key:           res.Kind.Key(),
			Ends:          make(map[EndState]int),
			Refusals:      make(map[string]int),
			latency:       newHistogram(),
			firstToken:    newHistogram(),
			betweenTokens: newHistogram(),
		}
		r.kinds[s.Key] = s
	}
	s.add(res)
}

func (s *KindStats) add(res Result) {
	s.Sent++
	s.Attempts += res.Attempts
	s.Ends[res.EndState]++
	if res.EndState == EndInTime || res.EndState == EndLate {
		record(s.latency, res.Latency)
	}
	if res.FirstToken > 0 {
		record(s.firstToken, res.FirstToken)
	}
	for _, gap := range res.TokenGaps {
		record(s.betweenTokens, gap)
	}
	for _, refusal := range res.Refusals {
		s.Refusals[refusal.Outcome+"/"+refusal.Cause]++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for a value outside the histogram's bounds, which min
	// and max prevent here.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// ByKind returns the statistics of each kind of request, sorted by key.
func (r *Report) ByKind() []KindStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]KindStats, 0, len(r.kinds))
	for _, k := range slices.Sorted(maps.Keys(r.kinds)) {
		s := *r.kinds[k]
		s.Attainment = float64(s.Ends[EndInTime]) / float64(s.Sent)
		s.Latency = quantiles(s.latency)
		s.FirstToken = quantiles(s.firstToken)
		s.BetweenTokens = quantiles(s.betweenTokens)
		out = append(out, s)
	}
	return out
}

// Latency returns the latency of all complete responses.
func (r *Report) Latency() Latency {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := newHistogram()
	for _, s := range r.kinds {
		all.Merge(s.latency)
	}
	return quantiles(all)
}

func quantiles(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{P50: at(50), P95: at(95), P99: at(99)}
}

// Count returns the number of requests that ended in the given state.
func (r *Report) Count(state EndState) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.kinds {
		n += s.Ends[state]
	}
	return n
}

// Sent returns the number of requests that were sent and have ended.
func (r *Report) Sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.results)
}

// Attainment returns the fraction of all requests that were answered in time, 0
// if there were none.
func (r *Report) Attainment() float64 {
	if n := r.Sent(); n > 0 {
		return float64(r.Count(EndInTime)) / float64(n)
	}
	return 0
}

// Results returns the result of each request, in no particular order.
func (r *Report) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.results)
}

// Refusals returns the counts of refused attempts by outcome and cause, the
// highest first.
func (r *Report) Refusals() []RefusalCount {
	counts := make(map[string]int)
	for _, s := range r.ByKind() {
		for k, n := range s.Refusals {
			counts[k] += n
		}
	}
	out := make([]RefusalCount, 0, len(counts))
	for k, n := range counts {
		out = append(out, RefusalCount{Key: k, Count: n})
	}
	slices.SortFunc(out, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// RefusalCount is the number of refused attempts with the same outcome and cause.
type RefusalCount struct {
	Key   string `json:"key"` // outcome/cause
	Count int    `json:"count"`
}
