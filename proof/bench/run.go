package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/meter"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/verify"
	"wigeonplank.example/wpctl/load"
)

const (
	tries       = 3
	patience    = 3 * time.Second
	drainPoll   = 50 * time.Millisecond
	longestWait = 10 * time.Second
)

// Row is the result of one run for one share of the mix.
type Row struct {
	Scenario, Variant string
	Repeat            int
	Key               string // pipeline and class, or "all"
	Sent              int
	Attainment        float64
	P50, P95, P99     time.Duration
	First, Between    time.Duration // 95 in 100
	Useful, Retried   time.Duration // engine time
	Late, Cancelled   time.Duration
	Refused           int           // refused tries
	RefusedAfter      time.Duration // mean, from the try
	Overruns          int           // work begun on cold endpoints above what they bear
	DrainSeconds      float64       // until the drained zone began nothing more; 0: no drain
	Wrong             int           // wrong, doubled, missing or untrue
}

// Bench runs scenarios.
type Bench struct {
	Plan fleet.Plan
	Bin  string
	Top  string // folder for the runs
	Seed uint64
}

// Run does one run and returns its rows, that of the whole first.
func (b *Bench) Run(s Scenario, v Variant, repeat int) (rows []Row, err error) {
	plan := b.Plan
	v.Set(&plan)
	dir := filepath.Join(b.Top, fmt.Sprintf("%s-%s-%d", s.Name, v.Name, repeat))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	f, err := fleet.New(plan, dir, b.Bin)
	if err != nil {
		return nil, err
	}
	if err := f.Start(context.Background()); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := warmUp(f); err != nil {
		return nil, err
	}
	return b.measure(f, s, v, repeat)
}

// warmUp lets the ramps reach their limits.
func warmUp(f *fleet.Fleet) error {
	_, err := load.Run(context.Background(), &load.Plan{
		Targets:  f.Targets(),
		Rate:     Rate(0.6),
		Duration: 2 * time.Second,
		Mix:      f.Plan.LoadMix(f.Doc),
		Seed:     99,
		Tries:    tries,
	})
	return err
}

func (b *Bench) measure(f *fleet.Fleet, s Scenario, v Variant, repeat int) ([]Row, error) {
	if s.Before != nil {
		if err := s.Before(f); err != nil {
			return nil, err
		}
	}
	doc := f.Doc
	before, err := snapshot(f)
	if err != nil {
		return nil, err
	}
	during := make(chan error, 1)
	go func() {
		if s.During == nil {
			during <- nil
			return
		}
		during <- s.During(f)
	}()
	drained := make(chan float64, 1)
	go func() { drained <- drainTime(f, s.Drained) }()
	bursts := make(chan *load.Report, 1)
	go func() { bursts <- b.burst(f, s, doc, repeat) }()
	rep, err := load.Run(context.Background(), b.loadPlan(f, doc, s.Load, RunTime, uint64(repeat)))
	if err := errors.Join(err, <-during); err != nil {
		return nil, err
	}
	<-bursts
	verdict, err := verify.Run(f, doc, rep)
	if err != nil {
		return nil, err
	}
	after, err := snapshot(f)
	if err != nil {
		return nil, err
	}
	rows := table(rep, s, v, repeat)
	rows[0].addCosts(before, after)
	rows[0].DrainSeconds = <-drained
	rows[0].Wrong = len(verdict.Wrong) + len(verdict.Doubled) + len(verdict.Missing) + len(verdict.Untrue)
	return rows, nil
}

func (b *Bench) loadPlan(f *fleet.Fleet, d *conf.Document, share float64, t time.Duration, seed uint64) *load.Plan {
	return &load.Plan{
		Targets:  f.Targets(),
		Rate:     Rate(share),
		Duration: t,
		Mix:      f.Plan.LoadMix(d),
		Seed:     b.Seed + seed,
		Tries:    tries,
		Patience: patience,
		Check:    verify.Checker(d),
	}
}

// burst sends the scenario's burst. Its requests are not counted: the question
// is what it does to the others.
func (b *Bench) burst(f *fleet.Fleet, s Scenario, d *conf.Document, repeat int) *load.Report {
	if s.Burst == 0 {
		return nil
	}
	time.Sleep(quarter)
	p := b.loadPlan(f, d, s.Burst, quarter, uint64(repeat)+1<<40)
	p.Input = func(n int, _ load.Share) string { return fmt.Sprintf("burst %d of %d", n, repeat) }
	rep, err := load.Run(context.Background(), p)
	if err != nil {
		return nil
	}
	return rep
}

// drainTime returns the seconds from the publication that drains a zone until
// its endpoints began their last work, watched to the end of the drain.
func drainTime(f *fleet.Fleet, zone string) float64 {
	if zone == "" {
		return 0
	}
	time.Sleep(quarter)
	began := time.Now()
	last := began
	starts := zoneStarts(f, zone)
	for time.Since(began) < 2*quarter-drainPoll {
		time.Sleep(drainPoll)
		if n := zoneStarts(f, zone); n != starts {
			starts, last = n, time.Now()
		}
	}
	return last.Sub(began).Seconds()
}

func zoneStarts(f *fleet.Fleet, zone string) int {
	n := 0
	for _, e := range f.Endpoints {
		if e.Instance.Zone != zone {
			continue
		}
		if h, err := f.History(e); err == nil {
			n += h.Starts
		}
	}
	return n
}

// state is what the fleet has counted so far.
type state struct {
	uses     map[meter.Use]time.Duration
	overruns int
}

func snapshot(f *fleet.Fleet) (state, error) {
	s := state{uses: make(map[meter.Use]time.Duration)}
	for _, e := range f.Entries {
		st, err := f.EntryStatus(e)
		if err != nil {
			continue // its costs are gone with it
		}
		for _, c := range st.Costs {
			s.uses[c.Use] += c.EngineTime
		}
	}
	for _, e := range f.Endpoints {
		h, err := f.History(e)
		if err != nil {
			return s, err
		}
		s.overruns += h.Overruns
	}
	return s, nil
}

func (r *Row) addCosts(before, after state) {
	spent := func(u meter.Use) time.Duration { return max(after.uses[u]-before.uses[u], 0) }
	r.Useful = spent(meter.UseUseful)
	r.Retried = spent(meter.UseRetried)
	r.Late = spent(meter.UseLate)
	r.Cancelled = spent(meter.UseCancelled)
	r.Overruns = after.overruns - before.overruns
}

func table(rep *load.Report, s Scenario, v Variant, repeat int) []Row {
	base := Row{Scenario: s.Name, Variant: v.Name, Repeat: repeat}
	all := base
	all.Key = "all"
	all.Sent = rep.Sent()
	all.Attainment = rep.Attainment()
	whole := rep.Latency()
	all.P50, all.P95, all.P99 = whole.P50, whole.P95, whole.P99
	all.Refused, all.RefusedAfter = refusals(rep)
	lines := rep.Lines()
	rows := make([]Row, 0, 1+len(lines))
	rows = append(rows, all)
	for _, l := range lines {
		r := base
		r.Key = l.Key
		r.Sent = l.Sent
		r.Attainment = l.Attainment
		r.P50, r.P95, r.P99 = l.Latency.P50, l.Latency.P95, l.Latency.P99
		r.First, r.Between = l.First.P95, l.Between.P95
		rows = append(rows, r)
	}
	return rows
}

func refusals(rep *load.Report) (int, time.Duration) {
	n := 0
	var sum time.Duration
	for _, e := range rep.Ended() {
		for _, r := range e.Refused {
			n++
			sum += r.After
		}
	}
	if n == 0 {
		return 0, 0
	}
	return n, sum / time.Duration(n)
}
