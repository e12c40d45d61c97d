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

// Line contains the statistics of one kind of request.
type Line struct {
	Key        string         `json:"key"`
	Sent       int            `json:"sent"`
	Ends       map[Final]int  `json:"ends"`
	Attainment float64        `json:"attainment"` // fraction of the requests that were answered in time
	Latency    Latency        `json:"latency"`    // of complete responses
	First      Latency        `json:"first_token"`
	Between    Latency        `json:"between_tokens"`
	Refusals   map[string]int `json:"refusals"` // refused attempts by outcome/cause
	Tries      int            `json:"tries"`

	latency, firstToken, betweenTokens *hdrhistogram.Histogram
}

// Report contains the results of a run. It is safe for concurrent use.
type Report struct {
	Elapsed time.Duration // from the start to the end of the last request

	mu      sync.Mutex
	kinds   map[string]*Line // by Kind.Key
	results []Ended
}

func newReport() *Report { return &Report{kinds: make(map[string]*Line)} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func (r *Report) add(res Ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
	s := r.kinds[res.Share.Key()]
	if s == nil {
		s = &Line{
			Key:           res.Share.Key(),
			Ends:          make(map[Final]int),
			Refusals:      make(map[string]int),
			latency:       newHistogram(),
			firstToken:    newHistogram(),
			betweenTokens: newHistogram(),
		}
		r.kinds[s.Key] = s
	}
	s.add(res)
}

func (s *Line) add(res Ended) {
	s.Sent++
	s.Tries += res.Tries
	s.Ends[res.Final]++
	if res.Final == FinalInTime || res.Final == FinalLate {
		record(s.latency, res.Took)
	}
	if res.First > 0 {
		record(s.firstToken, res.First)
	}
	for _, gap := range res.Gaps {
		record(s.betweenTokens, gap)
	}
	for _, refusal := range res.Refused {
		s.Refusals[refusal.Outcome+"/"+refusal.Cause]++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for a value out of the histogram's bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// Lines returns the statistics of each kind of request, sorted by key.
func (r *Report) Lines() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Line, 0, len(r.kinds))
	for _, k := range slices.Sorted(maps.Keys(r.kinds)) {
		s := *r.kinds[k]
		s.Attainment = float64(s.Ends[FinalInTime]) / float64(s.Sent)
		s.Latency = quantiles(s.latency)
		s.First = quantiles(s.firstToken)
		s.Between = quantiles(s.betweenTokens)
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
func (r *Report) Count(state Final) int {
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
		return float64(r.Count(FinalInTime)) / float64(n)
	}
	return 0
}

// Ended returns the result of each request, in no particular order.
func (r *Report) Ended() []Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.results)
}

// Refusals returns the counts of refused attempts by outcome and cause, the
// highest first.
func (r *Report) Refusals() []Tally {
	counts := make(map[string]int)
	for _, s := range r.Lines() {
		for k, n := range s.Refusals {
			counts[k] += n
		}
	}
	out := make([]Tally, 0, len(counts))
	for k, n := range counts {
		out = append(out, Tally{Key: k, Count: n})
	}
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// Tally is the number of refused attempts with the same outcome and cause.
type Tally struct {
	Key   string `json:"key"` // outcome/cause
	Count int    `json:"count"`
}
