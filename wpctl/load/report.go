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
	lowestMicro  = 1
	highestMicro = 120_000_000
	digits       = 3
)

// Latency is a set of quantiles.
type Latency struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Line is the result of one share of the mix.
type Line struct {
	Key        string         `json:"key"`
	Sent       int            `json:"sent"`
	Ends       map[Final]int  `json:"ends"`
	Attainment float64        `json:"attainment"` // answered in time, of all sent
	Latency    Latency        `json:"latency"`    // of whole answers
	First      Latency        `json:"first_token"`
	Between    Latency        `json:"between_tokens"`
	Refusals   map[string]int `json:"refusals"` // tries, by outcome and cause
	Tries      int            `json:"tries"`

	latency, first, between *hdrhistogram.Histogram
}

// Report is the result of a run. It is safe for concurrent use while it grows.
type Report struct {
	Elapsed time.Duration

	mu    sync.Mutex
	lines map[string]*Line
	ended []Ended
}

func newReport() *Report { return &Report{lines: make(map[string]*Line)} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicro, highestMicro, digits)
}

func (r *Report) add(e Ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, e)
	l := r.lines[e.Share.Key()]
	if l == nil {
		l = &Line{
			Key:      e.Share.Key(),
			Ends:     make(map[Final]int),
			Refusals: make(map[string]int),
			latency:  newHistogram(),
			first:    newHistogram(),
			between:  newHistogram(),
		}
		r.lines[l.Key] = l
	}
	l.add(e)
}

func (l *Line) add(e Ended) {
	l.Sent++
	l.Tries += e.Tries
	l.Ends[e.Final]++
	if e.Final == FinalInTime || e.Final == FinalLate {
		record(l.latency, e.Took)
	}
	if e.First > 0 {
		record(l.first, e.First)
	}
	for _, g := range e.Gaps {
		record(l.between, g)
	}
	for _, f := range e.Refused {
		l.Refusals[f.Outcome+"/"+f.Cause]++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's bounds, so this can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicro), highestMicro))
}

// Lines returns the results by share, in a fixed order.
func (r *Report) Lines() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Line, 0, len(r.lines))
	for _, k := range slices.Sorted(maps.Keys(r.lines)) {
		l := *r.lines[k]
		l.Attainment = float64(l.Ends[FinalInTime]) / float64(l.Sent)
		l.Latency = quantiles(l.latency)
		l.First = quantiles(l.first)
		l.Between = quantiles(l.between)
		out = append(out, l)
	}
	return out
}

// Latency returns the latency of all whole answers.
func (r *Report) Latency() Latency {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := newHistogram()
	for _, l := range r.lines {
		all.Merge(l.latency)
	}
	return quantiles(all)
}

func quantiles(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{P50: at(50), P95: at(95), P99: at(99)}
}

// Count returns how many requests ended so.
func (r *Report) Count(f Final) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.lines {
		n += l.Ends[f]
	}
	return n
}

// Sent returns how many requests there were.
func (r *Report) Sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ended)
}

// Attainment returns the share of all requests that were answered in time.
func (r *Report) Attainment() float64 {
	if n := r.Sent(); n > 0 {
		return float64(r.Count(FinalInTime)) / float64(n)
	}
	return 0
}

// Ended returns each request's end, in no order.
func (r *Report) Ended() []Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ended)
}

// Refusals returns the refused tries by outcome and cause, most first.
func (r *Report) Refusals() []Tally {
	sum := make(map[string]int)
	for _, l := range r.Lines() {
		for k, n := range l.Refusals {
			sum[k] += n
		}
	}
	out := make([]Tally, 0, len(sum))
	for k, n := range sum {
		out = append(out, Tally{Key: k, Count: n})
	}
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// Tally is a counted key.
type Tally struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}
