// Package gate controls the admission of work to an agent's endpoint. It limits
// how much work is in flight, orders the queue, and refuses work that the
// endpoint can't start in time.
package gate

import (
	"math"
	"slices"
	"time"

	"wigeonplank.example/core/runs"
)

// Settings configures a Gate. Zero limits are replaced by their defaults.
type Settings struct {
	WarmLimit int  // maximum work in flight at a warm endpoint; default 8
	ColdLimit int  // maximum work in flight at a cold endpoint; default 1
	Open      bool // disables the limits and the wait for a load report; a baseline for comparison
}

const (
	defaultWarmLimit = 8
	defaultColdLimit = 1

	maxReportAge       = 3 * time.Second  // the limit doesn't grow on an older load report
	firstReportTimeout = 30 * time.Second // without a load report, work is admitted after this time

	slowdownFactor = 3.0                    // ratio of the service time to the baseline that indicates a cold endpoint
	minSlowdown    = 25 * time.Millisecond  // a smaller excess is noise: a busy machine can triple a 1 ms call
	stallFactor    = 4.0                    // ratio of the wait for the first output to its average that indicates a cold endpoint
	minStallTime   = 150 * time.Millisecond // a shorter wait for the first output is no stall
	minPaceUnits   = 8                      // units of output required to judge the pace of running work
	maxTickGap     = 300 * time.Millisecond // longer gaps between ticks are a standstill of this process, in which output may have arrived

	smoothingFactor = 0.2  // weight of a new sample in a moving average
	baselineGrowth  = 1.01 // factor per completion that lets the baseline follow slow changes

	closedRetryDelay = time.Second
	minRetryDelay    = 50 * time.Millisecond
)

// Reason says why work is refused.
type Reason string

// Reasons for a refusal.
const (
	ReasonFull       Reason = "full"        // neither a slot nor a place in the queue is available
	ReasonLate       Reason = "late"        // the work would not complete within its budget
	ReasonCold       Reason = "cold"        // the endpoint turned cold while the work was queued
	ReasonClosed     Reason = "closed"      // the gate is closed to new work
	ReasonExpired    Reason = "expired"     // the latest start time passed while the work was queued
	ReasonNotSampled Reason = "not_sampled" // the endpoint's load has not been read since the agent started
)

// LowerReason says why a gate lowered its limit.
type LowerReason string

// Reasons for a lower limit.
const (
	LowerFailed  LowerReason = "failed"  // work failed at the endpoint
	LowerSlow    LowerReason = "slow"    // work took far longer than the baseline
	LowerStalled LowerReason = "stalled" // running work shows that the endpoint turned cold or slow
	LowerCold    LowerReason = "cold"    // the endpoint reported that it is cold
	LowerModel   LowerReason = "model"   // the endpoint loaded another model
)

// Work is an attempt submitted for admission.
type Work struct {
	ID       runs.ID
	Priority int           // 0 is the highest
	Budget   time.Duration // remaining time in which the result is still useful
}

// Verdict is the result of Submit.
type Verdict string

// Verdicts on submitted work.
const (
	VerdictStart  Verdict = "start"
	VerdictQueue  Verdict = "queue"
	VerdictRefuse Verdict = "refuse"
)

// Decision is a Verdict and, for refused work, the reason and the delay after
// which a retry is sensible.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}

// Refusal is the decision on queued work that is dropped without having started.
type Refusal struct {
	ID       runs.ID
	Decision Decision
}

// Effects lists the queued work that a call started or refused. The caller
// carries out both.
type Effects struct {
	Started []runs.ID
	Refused []Refusal
}

// Completion describes completed work.
type Completion struct {
	ServiceTime time.Duration // from start to completion
	Units       int           // number of tokens generated, or 1
	OK          bool          // the endpoint did not fail; a failure halves the limit
}

// LoadReport is a load report of the endpoint.
type LoadReport struct {
	Running int // work in flight at the endpoint
	Cold    bool
	At      time.Time // when the endpoint measured the load
}

// Capacity is the state of a gate that agents publish.
type Capacity struct {
	Limit        int
	Busy         int // occupied slots, including those of orphaned work
	Queued       int
	Cold         bool
	ClosedReason Reason // why no new work is admitted; empty if it is
}

type queuedWork struct {
	work    Work
	startBy time.Time
}

type runningWork struct {
	startedAt time.Time
	stalled   time.Duration // part of the time since then in which this process stood still
	units     int           // units of output so far
}

// Gate decides on all work for one endpoint. It is not safe for concurrent use.
type Gate struct {
	// OnLowered is called when the limit was lowered. It may be nil.
	OnLowered func(reason LowerReason, from, to int)

	settings  Settings
	createdAt time.Time

	running  map[runs.ID]*runningWork
	tickedAt time.Time    // last Tick
	queue    []queuedWork // by priority, then by arrival
	orphaned int          // work that the endpoint still runs for a previous process of the agent
	closed   bool
	sampled  bool // a load report has arrived, or firstReportTimeout has passed

	limiter         limiter
	serviceTime     time.Duration // moving average over successful work
	firstOutputTime time.Duration // moving average of the time from start to first output
}

// New returns a gate created at now for an endpoint in an unknown state. The
// gate refuses work until it has received a load report.
func New(s Settings, now time.Time) *Gate {
	if s.WarmLimit == 0 {
		s.WarmLimit = defaultWarmLimit
	}
	if s.ColdLimit == 0 {
		s.ColdLimit = defaultColdLimit
	}
	return &Gate{
		settings:  s,
		createdAt: now,
		tickedAt:  now,
		running:   make(map[runs.ID]*runningWork),
		limiter:   newLimiter(s),
	}
}

// Close refuses new work from now on. Running and queued work is unaffected.
func (g *Gate) Close() { g.closed = true }

// Reopen admits new work again after Close.
func (g *Gate) Reopen() { g.closed = false }

// Idle reports whether no work is running or queued. Work of a previous process
// of the agent doesn't count.
func (g *Gate) Idle() bool { return len(g.running) == 0 && len(g.queue) == 0 }

func (g *Gate) busy() int { return len(g.running) + g.orphaned }

// Limit returns the current maximum of work in flight.
func (g *Gate) Limit() int {
	if g.settings.Open {
		return math.MaxInt32
	}
	return int(g.limiter.limit)
}

// Capacity returns the current state of the gate.
func (g *Gate) Capacity() Capacity {
	c := Capacity{
		Limit:  min(g.Limit(), g.settings.WarmLimit),
		Busy:   g.busy(),
		Queued: len(g.queue),
		Cold:   g.limiter.cold,
	}
	switch {
	case g.closed:
		c.ClosedReason = ReasonClosed
	case !g.sampled && !g.settings.Open:
		c.ClosedReason = ReasonNotSampled
	}
	return c
}

// Submit decides whether new work starts, is queued or is refused. Work that
// starts counts as running from now on.
func (g *Gate) Submit(now time.Time, w Work) Decision {
	switch {
	case g.closed:
		return refuse(ReasonClosed, closedRetryDelay)
	case !g.sampled && !g.settings.Open:
		return refuse(ReasonNotSampled, closedRetryDelay)
	case g.busy() < g.Limit() && len(g.queue) == 0:
		g.start(now, w.ID)
		return Decision{Verdict: VerdictStart}
	}
	wait := g.estimateWait(len(g.queue) + 1)
	if len(g.queue) >= g.maxQueueLen() {
		return refuse(ReasonFull, wait)
	}
	if wait+g.serviceTime > w.Budget {
		return refuse(ReasonLate, wait)
	}
	g.enqueue(queuedWork{work: w, startBy: now.Add(w.Budget - g.serviceTime)})
	return Decision{Verdict: VerdictQueue}
}

func refuse(r Reason, retryAfter time.Duration) Decision {
	return Decision{Verdict: VerdictRefuse, Reason: r, RetryAfter: max(retryAfter, minRetryDelay)}
}

// maxQueueLen returns half of the limit, at least 1. Work that waits in a longer
// queue tends to miss its deadline.
func (g *Gate) maxQueueLen() int { return max(g.Limit()/2, 1) }

// estimateWait returns the expected wait of the n-th work in the queue.
func (g *Gate) estimateWait(n int) time.Duration {
	limit := max(g.Limit(), 1)
	ahead := max(g.busy()+n-limit, 0)
	return time.Duration(float64(ahead) / float64(limit) * float64(g.serviceTime))
}

func (g *Gate) enqueue(w queuedWork) {
	i := len(g.queue)
	for i > 0 && g.queue[i-1].work.Priority > w.work.Priority {
		i--
	}
	g.queue = slices.Insert(g.queue, i, w)
}

func (g *Gate) start(now time.Time, id runs.ID) {
	g.running[id] = &runningWork{startedAt: now}
}

// CancelQueued removes work from the queue and reports whether it was there.
func (g *Gate) CancelQueued(id runs.ID) bool {
	i := slices.IndexFunc(g.queue, func(w queuedWork) bool { return w.work.ID == id })
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// RecordProgress records that running work has produced units of output in total.
func (g *Gate) RecordProgress(now time.Time, id runs.ID, units int) {
	w, ok := g.running[id]
	if !ok {
		return
	}
	if w.units == 0 {
		g.firstOutputTime = smooth(g.firstOutputTime, now.Sub(w.startedAt))
	}
	w.units = max(w.units, units)
}

// Finish records the completion of running work and starts queued work in the
// released slot. It has no effect if the work is not running.
func (g *Gate) Finish(now time.Time, id runs.ID, c Completion) Effects {
	if _, ok := g.running[id]; !ok {
		return Effects{}
	}
	before := g.Limit()
	saturated := g.busy() >= before-1
	delete(g.running, id)
	if c.OK {
		g.serviceTime = smooth(g.serviceTime, c.ServiceTime)
	}
	lowered := g.limiter.observeCompletion(now, c, saturated)
	reason := LowerSlow
	if !c.OK {
		reason = LowerFailed
	}
	g.reportLowered(reason, before)
	return g.updateQueue(now, lowered)
}

// Observe applies a load report of the endpoint. A report measured before the
// gate was created is ignored, because it may miss work that a previous process
// of the agent started afterwards.
func (g *Gate) Observe(now time.Time, r LoadReport) Effects {
	if r.At.Before(g.createdAt) {
		return Effects{}
	}
	if !g.sampled {
		g.orphaned = max(r.Running-len(g.running), 0)
		g.sampled = true
	}
	g.orphaned = min(g.orphaned, r.Running)
	before := g.Limit()
	lowered := g.limiter.observeReport(r)
	g.reportLowered(LowerCold, before)
	return g.updateQueue(now, lowered)
}

// RecordModelLoad records that the endpoint loaded another model at now. The
// endpoint counts as cold until a load report measured after now shows that it is
// warm.
func (g *Gate) RecordModelLoad(now time.Time) {
	before := g.Limit()
	g.limiter.suspected = false
	g.limiter.markCold(now)
	g.reportLowered(LowerModel, before)
}

// reportLowered calls OnLowered if the limit is below what it was before.
func (g *Gate) reportLowered(reason LowerReason, before int) {
	if limit := g.Limit(); limit < before && g.OnLowered != nil {
		g.OnLowered(reason, before, limit)
	}
}

// Tick lowers the limit if running work has stalled, and refuses queued work
// whose latest start time has passed. Call it periodically.
func (g *Gate) Tick(now time.Time) Effects {
	if !g.sampled && now.Sub(g.createdAt) >= firstReportTimeout {
		g.sampled = true
	}
	g.excludeStandstill(now)
	before := g.Limit()
	lowered := g.hasStalledWork(now) && g.limiter.suspectCold(now)
	g.reportLowered(LowerStalled, before)
	fx := g.updateQueue(now, lowered)
	pending := g.queue[:0]
	for _, w := range g.queue {
		if now.After(w.startBy) {
			fx.Refused = append(fx.Refused, Refusal{ID: w.work.ID, Decision: refuse(ReasonExpired, g.estimateWait(1))})
			continue
		}
		pending = append(pending, w)
	}
	g.queue = pending
	return fx
}

// excludeStandstill records that this process stood still if the last tick was long ago.
func (g *Gate) excludeStandstill(now time.Time) {
	if gap := now.Sub(g.tickedAt); gap > maxTickGap {
		for _, w := range g.running {
			w.stalled += min(gap, now.Sub(w.startedAt))
		}
	}
	g.tickedAt = now
}

// hasStalledWork reports whether running work indicates that the endpoint turned
// cold or slow: its first output is overdue, or its output is much slower than
// the baseline. The service time shows this only when the work completes.
func (g *Gate) hasStalledWork(now time.Time) bool {
	for _, w := range g.running {
		elapsed := now.Sub(w.startedAt) - w.stalled
		switch {
		case w.units == 0 && g.firstOutputTime > 0 &&
			elapsed > max(time.Duration(stallFactor*float64(g.firstOutputTime)), minStallTime):
			return true
		case w.units >= minPaceUnits && g.limiter.isSlow(elapsed, w.units):
			return true
		}
	}
	return false
}

// updateQueue starts queued work while slots are available. If the limit was
// lowered, it refuses all queued work first, so that callers can retry at other
// endpoints.
func (g *Gate) updateQueue(now time.Time, lowered bool) Effects {
	var fx Effects
	if lowered && !g.settings.Open {
		for _, w := range g.queue {
			fx.Refused = append(fx.Refused, Refusal{ID: w.work.ID, Decision: refuse(ReasonCold, g.estimateWait(1))})
		}
		g.queue = nil
	}
	for len(g.queue) > 0 && g.busy() < g.Limit() {
		w := g.queue[0]
		g.queue = g.queue[1:]
		g.start(now, w.work.ID)
		fx.Started = append(fx.Started, w.work.ID)
	}
	return fx
}

// smooth updates an exponentially weighted moving average. An average of 0 has
// no samples yet.
func smooth(avg, sample time.Duration) time.Duration {
	if avg == 0 {
		return sample
	}
	return avg + time.Duration(smoothingFactor*float64(sample-avg))
}
