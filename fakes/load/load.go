// Package load models how a back end bears work: warm it slows down gently,
// cold it is slow and falls over under more than it bears.
package load

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/fault"
)

// Options describes a back end.
type Options struct {
	Slots     int `long:"slots" yaml:"slots" default:"8" description:"concurrent work that it bears when warm"`
	ColdSlots int `long:"cold-slots" yaml:"cold_slots" default:"1" description:"concurrent work that it bears when cold"`
	ColdMS    int `long:"cold-ms" yaml:"cold_ms" default:"1000" description:"time that it stays cold after a start, ms"`
	LagMS     int `long:"lag-ms" yaml:"lag_ms" default:"100" description:"age of its load reports, ms"`
}

// Faults of a back end's load.
type Faults struct {
	Slow     float64 `json:"slow"`      // factor on all times; 0: none
	Cold     bool    `json:"cold"`      // cold again, without a word
	Quiet    bool    `json:"quiet"`     // and its reports don't say so
	NoReport bool    `json:"no_report"` // reports are missing
	Full     bool    `json:"full"`      // it refuses all work by its protocol
}

const (
	coldFactor   = 4.0
	overFactor   = 6.0 // slower again, for each unit above what it bears cold
	crowdFactor  = 0.5 // slower at all slots in use
	sampleEvery  = 10 * time.Millisecond
	sampleHold   = 5 * time.Second
	hardMultiple = 4 // of Slots: more is refused
)

// Report is what a back end says of its load.
type Report struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Cold    bool  `json:"cold"`
	AgeMS   int64 `json:"age_ms"`
}

// History is what a back end has seen.
type History struct {
	Starts   int `json:"starts"`
	Overruns int `json:"overruns"` // starts above what it bore, while cold
	MostCold int `json:"most_cold"`
	Most     int `json:"most"`
	Running  int `json:"running"`
}

type sample struct {
	at      time.Time
	running int
	cold    bool
}

// Meter is the load of one back end. It is safe for concurrent use.
type Meter struct {
	opts Options

	mu        sync.Mutex
	faults    Faults
	coldUntil time.Time
	hist      History
	samples   []sample
}

// New returns the load of a back end that starts cold now.
func New(o Options) *Meter {
	return &Meter{opts: o, coldUntil: time.Now().Add(time.Duration(o.ColdMS) * time.Millisecond)}
}

// Set replaces the faults.
func (m *Meter) Set(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Chill makes the back end cold for its usual time from now on.
func (m *Meter) Chill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldUntil = time.Now().Add(time.Duration(m.opts.ColdMS) * time.Millisecond)
}

func (m *Meter) cold(now time.Time) bool { return m.faults.Cold || now.Before(m.coldUntil) }

// Begin counts one unit of work, or reports that it is refused.
func (m *Meter) Begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Full || m.hist.Running >= m.opts.Slots*hardMultiple {
		return false
	}
	m.hist.Running++
	m.hist.Starts++
	m.hist.Most = max(m.hist.Most, m.hist.Running)
	if m.cold(time.Now()) {
		m.hist.MostCold = max(m.hist.MostCold, m.hist.Running)
		if m.hist.Running > m.opts.ColdSlots {
			m.hist.Overruns++
		}
	}
	m.note()
	return true
}

// End counts the end of one unit of work.
func (m *Meter) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hist.Running--
	m.note()
}

// Routes adds the pages that every back end has: its load report, and what it
// has seen.
func (m *Meter) Routes(r *router.Router) {
	r.GET("/load", func(ctx *fasthttp.RequestCtx) {
		rep, ok := m.Report()
		if !ok {
			ctx.Error("no report", fasthttp.StatusServiceUnavailable)
			return
		}
		fault.JSON(ctx, fasthttp.StatusOK, rep)
	})
	r.GET("/history", func(ctx *fasthttp.RequestCtx) { fault.JSON(ctx, fasthttp.StatusOK, m.History()) })
}

// Factor returns how much longer than alone and warm a step takes now.
func (m *Meter) Factor() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := 1 + crowdFactor*float64(m.hist.Running)/float64(m.opts.Slots)
	if over := m.hist.Running - m.opts.Slots; over > 0 {
		f *= 1 + float64(over)/float64(m.opts.Slots)
	}
	if m.cold(time.Now()) {
		f *= coldFactor
		if over := m.hist.Running - m.opts.ColdSlots; over > 0 {
			f *= 1 + overFactor*float64(over)/float64(m.opts.Slots)
		}
	}
	if m.faults.Slow > 0 {
		f *= m.faults.Slow
	}
	return f
}

// History returns what was seen so far.
func (m *Meter) History() History {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hist
}

func (m *Meter) note() {
	now := time.Now()
	if n := len(m.samples); n > 0 && now.Sub(m.samples[n-1].at) < sampleEvery {
		n--
		m.samples[n].running = max(m.samples[n].running, m.hist.Running)
		return
	}
	m.samples = append(m.samples, sample{at: now, running: m.hist.Running, cold: m.cold(now)})
	if len(m.samples) > 1 && now.Sub(m.samples[0].at) > sampleHold {
		m.samples = m.samples[1:]
	}
}

// Report returns the report as of some time ago, or false if reports are
// missing.
func (m *Meter) Report() (Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.NoReport {
		return Report{}, false
	}
	now := time.Now()
	lag := time.Duration(m.opts.LagMS) * time.Millisecond
	r := Report{AgeMS: lag.Milliseconds(), Cold: m.cold(now.Add(-lag)) && !m.faults.Quiet}
	for _, s := range m.samples {
		if s.at.After(now.Add(-lag)) {
			break
		}
		r.Running = s.running
	}
	return r, true
}
