// Package gate decides what an agent lets through to its endpoint: how much at
// a time, in which order, and what is refused.
package gate

import (
	"math"
	"slices"
	"time"

	"wigeonplank.example/core/runs"
)

// Settings bounds a gate. The zero value takes the defaults.
type Settings struct {
	Max       int  // concurrent work that the warm endpoint bears; default 8
	ColdLimit int  // concurrent work that the cold endpoint bears; default 1
	Open      bool // baseline: no admission at all
}

const (
	defaultMax       = 8
	defaultColdLimit = 1
	reportFresh      = 3 * time.Second       // age up to which a load report counts
	unreportedHold   = 30 * time.Second      // wait for a first report at most this long
	minJump          = 25 * time.Millisecond // a rise by less is the machine's, not the endpoint's
	jumpFactor       = 3.0                   // rise of the unit time that means cold
	stallFactor      = 4.0                   // wait for first output that means cold
	minStall         = 150 * time.Millisecond
	paceUnits        = 8 // of output before its pace is judged
	smoothing        = 0.2
	baselineDrift    = 1.01
)

// Reason says why work is refused.
type Reason string

// Reasons for a refusal.
const (
	ReasonFull    Reason = "full"        // no slot and no place in the queue
	ReasonLate    Reason = "late"        // it would not be done in time
	ReasonCold    Reason = "cold"        // the endpoint turned cold while it waited
	ReasonClosed  Reason = "closed"      // the gate takes no new work
	ReasonExpired Reason = "expired"     // its latest start passed while it waited
	ReasonUnread  Reason = "not_sampled" // the endpoint's load has not been read since the agent started
)

// Work is an attempt that asks to start.
type Work struct {
	ID       runs.ID
	Priority int           // 0 first
	Budget   time.Duration // until its answer is of no use
}

// Verdict is a gate's answer to Offer.
type Verdict string

// Verdicts on offered work.
const (
	Start  Verdict = "start"
	Queue  Verdict = "queue"
	Refuse Verdict = "refuse"
)

// Decision is a Verdict with what the refused need to know.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}

// Refusal is queued work that will not start.
type Refusal struct {
	ID       runs.ID
	Decision Decision
}

// Effects is what became of queued work in a call.
type Effects struct {
	Started []runs.ID
	Refused []Refusal
}

// Sample describes ended work.
type Sample struct {
	Service time.Duration // from start to end
	Units   int           // tokens generated, or 1
	OK      bool
}

// Report is the endpoint's own word on its load.
type Report struct {
	Running int
	Cold    bool
	At      time.Time // when the endpoint measured it
}

// Room is what others may know of a gate.
type Room struct {
	Limit  int
	Busy   int
	Queued int
	Cold   bool
	Closed Reason
}

type waiting struct {
	work   Work
	latest time.Time
}

type active struct {
	since time.Time
	units int // of output so far
}

// Gate is the only authority over what an endpoint is given. It is not safe for
// concurrent use.
type Gate struct {
	set     Settings
	started time.Time

	running map[runs.ID]*active
	queue   []waiting
	foreign int // work of a predecessor that the endpoint still holds
	closed  bool
	sampled bool

	ramp    ramp
	service time.Duration // smoothed
	first   time.Duration // smoothed time to first output
}

// New returns a gate before an endpoint of which nothing is known at now. It
// takes no work before the endpoint's load was read.
func New(s Settings, now time.Time) *Gate {
	if s.Max == 0 {
		s.Max = defaultMax
	}
	if s.ColdLimit == 0 {
		s.ColdLimit = defaultColdLimit
	}
	return &Gate{
		set:     s,
		started: now,
		running: make(map[runs.ID]*active),
		ramp:    newRamp(s),
	}
}

// Close stops the intake of new work. Running and queued work is not touched.
func (g *Gate) Close() { g.closed = true }

// Reopen undoes Close.
func (g *Gate) Reopen() { g.closed = false }

// Idle reports whether nothing runs or waits.
func (g *Gate) Idle() bool { return len(g.running) == 0 && len(g.queue) == 0 }

func (g *Gate) busy() int { return len(g.running) + g.foreign }

// Limit returns how much may run at a time now.
func (g *Gate) Limit() int {
	if g.set.Open {
		return math.MaxInt32
	}
	return int(g.ramp.limit)
}

// Room returns the state that agents report.
func (g *Gate) Room() Room {
	r := Room{
		Limit:  min(g.Limit(), g.set.Max),
		Busy:   g.busy(),
		Queued: len(g.queue),
		Cold:   g.ramp.cold,
	}
	switch {
	case g.closed:
		r.Closed = ReasonClosed
	case !g.sampled && !g.set.Open:
		r.Closed = ReasonUnread
	}
	return r
}

// Offer decides on new work. On Start the work counts as running.
func (g *Gate) Offer(now time.Time, w Work) Decision {
	switch {
	case g.closed:
		return refuse(ReasonClosed, time.Second)
	case !g.sampled && !g.set.Open:
		return refuse(ReasonUnread, time.Second)
	case g.busy() < g.Limit() && len(g.queue) == 0:
		g.begin(now, w.ID)
		return Decision{Verdict: Start}
	}
	wait := g.wait(len(g.queue) + 1)
	if len(g.queue) >= g.queueBound() {
		return refuse(ReasonFull, wait)
	}
	if wait+g.service > w.Budget {
		return refuse(ReasonLate, wait)
	}
	g.enqueue(waiting{work: w, latest: now.Add(w.Budget - g.service)})
	return Decision{Verdict: Queue}
}

func refuse(r Reason, after time.Duration) Decision {
	return Decision{Verdict: Refuse, Reason: r, RetryAfter: max(after, 50*time.Millisecond)}
}

func (g *Gate) queueBound() int { return max(g.Limit()/2, 1) }

// wait estimates how long the n-th in the queue waits.
func (g *Gate) wait(n int) time.Duration {
	limit := max(g.Limit(), 1)
	ahead := max(g.busy()+n-limit, 0)
	return time.Duration(float64(ahead) / float64(limit) * float64(g.service))
}

func (g *Gate) enqueue(w waiting) {
	i := len(g.queue)
	for i > 0 && g.queue[i-1].work.Priority > w.work.Priority {
		i--
	}
	g.queue = slices.Insert(g.queue, i, w)
}

func (g *Gate) begin(now time.Time, id runs.ID) {
	g.running[id] = &active{since: now}
}

// Withdraw removes work that is queued, and reports whether it was.
func (g *Gate) Withdraw(id runs.ID) bool {
	i := slices.IndexFunc(g.queue, func(w waiting) bool { return w.work.ID == id })
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// Progress records that running work has given so many units of output.
func (g *Gate) Progress(now time.Time, id runs.ID, units int) {
	a, ok := g.running[id]
	if !ok {
		return
	}
	if a.units == 0 {
		g.first = smooth(g.first, now.Sub(a.since))
	}
	a.units = max(a.units, units)
}

// Finish records the end of running work and starts queued work in its place.
func (g *Gate) Finish(now time.Time, id runs.ID, s Sample) Effects {
	if _, ok := g.running[id]; !ok {
		return Effects{}
	}
	wanted := g.busy() >= g.Limit()-1
	delete(g.running, id)
	if s.OK {
		g.service = smooth(g.service, s.Service)
	}
	cut := g.ramp.finish(now, s, wanted)
	return g.settle(now, cut)
}

// Observe takes the endpoint's own report into account. A report measured
// before the agent started proves nothing of what its predecessor began.
func (g *Gate) Observe(now time.Time, r Report) Effects {
	if r.At.Before(g.started) {
		return Effects{}
	}
	if !g.sampled {
		g.foreign = max(r.Running-len(g.running), 0)
		g.sampled = true
	}
	g.foreign = min(g.foreign, r.Running)
	cut := g.ramp.report(r)
	return g.settle(now, cut)
}

// Loaded records that the endpoint got another model at now. It is cold until it
// reports otherwise.
func (g *Gate) Loaded(now time.Time) { g.ramp.cut(now) }

// Tick looks for stalled work and for queued work whose latest start passed.
func (g *Gate) Tick(now time.Time) Effects {
	if !g.sampled && now.Sub(g.started) >= unreportedHold {
		g.sampled = true
	}
	cut := g.stalled(now) && g.ramp.cut(now)
	fx := g.settle(now, cut)
	keep := g.queue[:0]
	for _, w := range g.queue {
		if now.After(w.latest) {
			fx.Refused = append(fx.Refused, Refusal{ID: w.work.ID, Decision: refuse(ReasonExpired, g.wait(1))})
			continue
		}
		keep = append(keep, w)
	}
	g.queue = keep
	return fx
}

// stalled reports whether some running work shows that the endpoint turned cold
// or slow, long before it ends: it waits for its first output far longer than is
// usual here, or its output comes far slower.
func (g *Gate) stalled(now time.Time) bool {
	for _, a := range g.running {
		took := now.Sub(a.since)
		switch {
		case a.units == 0 && g.first > 0 && took > max(time.Duration(stallFactor*float64(g.first)), minStall):
			return true
		case a.units >= paceUnits && g.ramp.jumped(took, a.units):
			return true
		}
	}
	return false
}

// settle starts queued work while there is room. After a cut the queue is
// refused at once, so that the work can go elsewhere.
func (g *Gate) settle(now time.Time, cut bool) Effects {
	var fx Effects
	if cut && !g.set.Open {
		for _, w := range g.queue {
			fx.Refused = append(fx.Refused, Refusal{ID: w.work.ID, Decision: refuse(ReasonCold, g.wait(1))})
		}
		g.queue = nil
	}
	for len(g.queue) > 0 && g.busy() < g.Limit() {
		w := g.queue[0]
		g.queue = g.queue[1:]
		g.begin(now, w.work.ID)
		fx.Started = append(fx.Started, w.work.ID)
	}
	return fx
}

func smooth(old, next time.Duration) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(smoothing*float64(next-old))
}
