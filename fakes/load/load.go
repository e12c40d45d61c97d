// Package load simulates how a back end responds to load. A warm back end slows
// down gradually as its load grows. A cold one is slow, and slows down sharply
// when its load exceeds its cold capacity.
package load

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/fault"
)

// Options describes the capacity of a back end.
type Options struct {
	Slots     int `long:"slots" yaml:"slots" default:"8" description:"concurrent requests that it sustains when warm"`
	ColdSlots int `long:"cold-slots" yaml:"cold_slots" default:"1" description:"concurrent requests that it sustains when cold"`
	ColdMS    int `long:"cold-ms" yaml:"cold_ms" default:"1000" description:"cold period after a start, ms"`
	LagMS     int `long:"lag-ms" yaml:"lag_ms" default:"100" description:"age of its load reports, ms"`
}

// Faults are the failures that a Simulator injects.
type Faults struct {
	Slow     float64 `json:"slow"`      // factor on all service times; 0: none
	Cold     bool    `json:"cold"`      // the back end is cold again, without a restart
	Quiet    bool    `json:"quiet"`     // load reports say that the back end is warm
	NoReport bool    `json:"no_report"` // load reports are missing
	Full     bool    `json:"full"`      // all requests are rejected
}

const (
	coldFactor         = 4.0 // slowdown while cold
	coldOverloadFactor = 6.0 // further slowdown while cold, per Slots requests above ColdSlots
	fullLoadFactor     = 0.5 // slowdown added when all slots are in use
	sampleInterval     = 10 * time.Millisecond
	sampleRetention    = 5 * time.Second
	maxLoadMultiple    = 4 // multiple of Slots at which further requests are rejected
)

// Report is a load report of a back end.
type Report struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Cold    bool  `json:"cold"`
	AgeMS   int64 `json:"age_ms"`
}

// History are the statistics of a back end since its start.
type History struct {
	Starts         int `json:"starts"`    // requests started
	Overruns       int `json:"overruns"`  // requests started above the cold capacity, while cold
	MaxRunningCold int `json:"most_cold"` // maximum number of requests in flight while cold
	MaxRunning     int `json:"most"`      // maximum number of requests in flight
	Running        int `json:"running"`   // requests in flight now
}

// sample is the load at one time, kept for delayed reports.
type sample struct {
	at      time.Time
	running int
	cold    bool
}

// Simulator simulates the load of one back end. It is safe for concurrent use.
type Simulator struct {
	opts Options

	mu        sync.Mutex
	faults    Faults
	coldUntil time.Time
	hist      History
	samples   []sample // oldest first
}

// New returns a Simulator for a back end that starts cold now.
func New(o Options) *Simulator {
	return &Simulator{opts: o, coldUntil: time.Now().Add(time.Duration(o.ColdMS) * time.Millisecond)}
}

// SetFaults replaces the faults.
func (s *Simulator) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// StartColdPeriod makes the back end cold for its configured cold period from
// now on.
func (s *Simulator) StartColdPeriod() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(time.Duration(s.opts.ColdMS) * time.Millisecond)
}

// isCold reports whether the back end is cold at a time. The caller holds mu.
func (s *Simulator) isCold(at time.Time) bool { return s.faults.Cold || at.Before(s.coldUntil) }

// Acquire counts a request as in flight, or returns false if the back end
// rejects it. The caller must call Release when the request ends.
func (s *Simulator) Acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Full || s.hist.Running >= s.opts.Slots*maxLoadMultiple {
		return false
	}
	s.hist.Running++
	s.hist.Starts++
	s.hist.MaxRunning = max(s.hist.MaxRunning, s.hist.Running)
	if s.isCold(time.Now()) {
		s.hist.MaxRunningCold = max(s.hist.MaxRunningCold, s.hist.Running)
		if s.hist.Running > s.opts.ColdSlots {
			s.hist.Overruns++
		}
	}
	s.recordSample()
	return true
}

// Release ends a request that Acquire has counted.
func (s *Simulator) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hist.Running--
	s.recordSample()
}

// AddRoutes adds the routes that back ends have in common: the load report and
// the statistics.
func (s *Simulator) AddRoutes(r *router.Router) {
	r.GET("/load", func(ctx *fasthttp.RequestCtx) {
		rep, ok := s.Report()
		if !ok {
			ctx.Error("no report", fasthttp.StatusServiceUnavailable)
			return
		}
		fault.WriteJSON(ctx, fasthttp.StatusOK, rep)
	})
	r.GET("/history", func(ctx *fasthttp.RequestCtx) { fault.WriteJSON(ctx, fasthttp.StatusOK, s.History()) })
}

// Slowdown returns the factor by which the current load and faults lengthen
// service times, compared with a warm back end without load.
func (s *Simulator) Slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := 1 + fullLoadFactor*float64(s.hist.Running)/float64(s.opts.Slots)
	if over := s.hist.Running - s.opts.Slots; over > 0 {
		f *= 1 + float64(over)/float64(s.opts.Slots)
	}
	if s.isCold(time.Now()) {
		f *= coldFactor
		if over := s.hist.Running - s.opts.ColdSlots; over > 0 {
			f *= 1 + coldOverloadFactor*float64(over)/float64(s.opts.Slots)
		}
	}
	if s.faults.Slow > 0 {
		f *= s.faults.Slow
	}
	return f
}

// History returns the statistics so far.
func (s *Simulator) History() History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hist
}

// recordSample records the current load. Samples within one sampleInterval are
// merged into their maximum. The caller holds mu.
func (s *Simulator) recordSample() {
	now := time.Now()
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < sampleInterval {
		n--
		s.samples[n].running = max(s.samples[n].running, s.hist.Running)
		return
	}
	s.samples = append(s.samples, sample{at: now, running: s.hist.Running, cold: s.isCold(now)})
	if len(s.samples) > 1 && now.Sub(s.samples[0].at) > sampleRetention {
		s.samples = s.samples[1:]
	}
}

// Report returns the load as it was LagMS ago, or false if reports are missing.
func (s *Simulator) Report() (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.NoReport {
		return Report{}, false
	}
	now := time.Now()
	lag := time.Duration(s.opts.LagMS) * time.Millisecond
	r := Report{AgeMS: lag.Milliseconds(), Cold: s.isCold(now.Add(-lag)) && !s.faults.Quiet}
	for _, sample := range s.samples {
		if sample.at.After(now.Add(-lag)) {
			break
		}
		r.Running = sample.running
	}
	return r, true
}
