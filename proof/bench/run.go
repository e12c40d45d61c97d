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
	maxAttempts       = 3
	retryTimeout      = 3 * time.Second
	drainPollInterval = 50 * time.Millisecond
	maxWait           = 10 * time.Second
)

// Row is the result of one run, either for the whole mix or for one kind of
// request. FirstTokenP95 and BetweenTokensP95 are set only for a kind of request,
// and the fields from Useful on only for the whole mix.
type Row struct {
	Scenario, Variant  string
	Repeat             int
	Key                string // pipeline and class, or "all"
	Sent               int
	Attainment         float64 // fraction of requests answered completely before their deadline
	P50, P95, P99      time.Duration
	FirstTokenP95      time.Duration
	BetweenTokensP95   time.Duration
	Useful, Retried    time.Duration // engine time of meter.UseUseful and meter.UseRetried
	Late, Cancelled    time.Duration // engine time of meter.UseLate and meter.UseCancelled
	Refusals           int           // attempts that were refused
	MeanRefusalLatency time.Duration // from the start of the attempt
	Overruns           int           // executions started on cold endpoints above their capacity
	DrainSeconds       float64       // until the drained zone starts its last execution; 0 without a drain
	Violations         int           // wrong, duplicate, missing or falsely reported results
}

// Bench runs scenarios.
type Bench struct {
	Plan fleet.Plan
	Bin  string // directory with the built programs
	Dir  string // parent directory for settings and logs of the runs
	Seed uint64
}

// Run executes one scenario with one variant on a new fleet. The first of the
// returned rows is for the whole mix.
func (b *Bench) Run(s Scenario, v Variant, repeat int) (rows []Row, err error) {
	plan := b.Plan
	v.Apply(&plan)
	dir := filepath.Join(b.Dir, fmt.Sprintf("%s-%s-%d", s.Name, v.Name, repeat))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create run directory: %w", err)
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

// warmUp sends load until the concurrency ramps of the agents have reached their
// limits.
func warmUp(f *fleet.Fleet) error {
	_, err := load.Run(context.Background(), &load.Plan{
		Targets:     f.Targets(),
		Rate:        Rate(0.6),
		Duration:    2 * time.Second,
		Mix:         f.Plan.LoadMix(f.Doc),
		Seed:        99,
		MaxAttempts: maxAttempts,
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
	before, err := readCounters(f)
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
	go func() { drained <- measureDrain(f, s.DrainedZone) }()
	bursts := make(chan *load.Report, 1)
	go func() { bursts <- b.sendBurst(f, s, doc, repeat) }()
	rep, err := load.Run(context.Background(), b.loadPlan(f, doc, s.Load, RunDuration, uint64(repeat)))
	if err := errors.Join(err, <-during); err != nil {
		return nil, err
	}
	<-bursts
	verdict, err := verify.Check(f, doc, rep)
	if err != nil {
		return nil, err
	}
	after, err := readCounters(f)
	if err != nil {
		return nil, err
	}
	rows := newRows(rep, s, v, repeat)
	rows[0].setCounters(before, after)
	rows[0].DrainSeconds = <-drained
	rows[0].Violations = len(verdict.WrongAnswers) + len(verdict.DuplicateEffects) + len(verdict.MissingEffects) + len(verdict.FalseRefusals)
	return rows, nil
}

// loadPlan returns a plan that uses the given fraction of the engines' capacity.
func (b *Bench) loadPlan(f *fleet.Fleet, doc *conf.Document, fraction float64, d time.Duration, seed uint64) *load.Plan {
	return &load.Plan{
		Targets:      f.Targets(),
		Rate:         Rate(fraction),
		Duration:     d,
		Mix:          f.Plan.LoadMix(doc),
		Seed:         b.Seed + seed,
		MaxAttempts:  maxAttempts,
		RetryTimeout: retryTimeout,
		Check:        verify.ResponseChecker(doc),
	}
}

// sendBurst sends the scenario's burst, if it has one. The requests of the burst
// are not counted, because the scenario measures its effect on the others.
func (b *Bench) sendBurst(f *fleet.Fleet, s Scenario, doc *conf.Document, repeat int) *load.Report {
	if s.Burst == 0 {
		return nil
	}
	time.Sleep(quarterDuration)
	p := b.loadPlan(f, doc, s.Burst, quarterDuration, uint64(repeat)+1<<40)
	p.Input = func(n int, _ load.Kind) string { return fmt.Sprintf("burst %d of %d", n, repeat) }
	rep, err := load.Run(context.Background(), p)
	if err != nil {
		return nil
	}
	return rep
}

// measureDrain returns the seconds from the publication that drains a zone until
// the last time one of its endpoints starts an execution. It observes the zone
// for as long as it is drained.
func measureDrain(f *fleet.Fleet, zone string) float64 {
	if zone == "" {
		return 0
	}
	time.Sleep(quarterDuration)
	drainedAt := time.Now()
	lastStart := drainedAt
	starts := countZoneStarts(f, zone)
	for time.Since(drainedAt) < 2*quarterDuration-drainPollInterval {
		time.Sleep(drainPollInterval)
		if n := countZoneStarts(f, zone); n != starts {
			starts, lastStart = n, time.Now()
		}
	}
	return lastStart.Sub(drainedAt).Seconds()
}

// countZoneStarts returns the number of executions that the endpoints of a zone
// have started.
func countZoneStarts(f *fleet.Fleet, zone string) int {
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

// counters holds cumulative counts of a fleet.
type counters struct {
	engineTime map[meter.Use]time.Duration
	overruns   int
}

func readCounters(f *fleet.Fleet) (counters, error) {
	c := counters{engineTime: make(map[meter.Use]time.Duration)}
	for _, e := range f.Entries {
		st, err := f.EntryStatus(e)
		if err != nil {
			continue // the counts of an entry that is down are lost
		}
		for _, cost := range st.Costs {
			c.engineTime[cost.Use] += cost.EngineTime
		}
	}
	for _, e := range f.Endpoints {
		h, err := f.History(e)
		if err != nil {
			return c, err
		}
		c.overruns += h.Overruns
	}
	return c, nil
}

// setCounters sets engine times and overruns to the differences between two
// readings. A restarted entry counts from zero again, so a negative difference
// counts as zero.
func (r *Row) setCounters(before, after counters) {
	spent := func(u meter.Use) time.Duration { return max(after.engineTime[u]-before.engineTime[u], 0) }
	r.Useful = spent(meter.UseUseful)
	r.Retried = spent(meter.UseRetried)
	r.Late = spent(meter.UseLate)
	r.Cancelled = spent(meter.UseCancelled)
	r.Overruns = after.overruns - before.overruns
}

// newRows returns a row for the whole mix, followed by one for each kind of
// request.
func newRows(rep *load.Report, s Scenario, v Variant, repeat int) []Row {
	base := Row{Scenario: s.Name, Variant: v.Name, Repeat: repeat}
	all := base
	all.Key = "all"
	all.Sent = rep.Sent()
	all.Attainment = rep.Attainment()
	latency := rep.Latency()
	all.P50, all.P95, all.P99 = latency.P50, latency.P95, latency.P99
	all.Refusals, all.MeanRefusalLatency = countRefusals(rep)
	kinds := rep.ByKind()
	rows := make([]Row, 0, 1+len(kinds))
	rows = append(rows, all)
	for _, k := range kinds {
		r := base
		r.Key = k.Key
		r.Sent = k.Sent
		r.Attainment = k.Attainment
		r.P50, r.P95, r.P99 = k.Latency.P50, k.Latency.P95, k.Latency.P99
		r.FirstTokenP95, r.BetweenTokensP95 = k.FirstToken.P95, k.BetweenTokens.P95
		rows = append(rows, r)
	}
	return rows
}

// countRefusals returns the number of refused attempts and their mean latency.
func countRefusals(rep *load.Report) (int, time.Duration) {
	n := 0
	var sum time.Duration
	for _, res := range rep.Results() {
		for _, r := range res.Refusals {
			n++
			sum += r.Latency
		}
	}
	if n == 0 {
		return 0, 0
	}
	return n, sum / time.Duration(n)
}
