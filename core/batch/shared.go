package batch

import (
	"math"
	"time"

	"wigeonplank.example/core/fleet"
)

const (
	// timeWeight is the weight of a call in the mean time of a pool's calls. About the
	// last 16 calls count, which are a fraction of a second of a busy pool.
	timeWeight = 1.0 / 16
	// delayHalfLife is the time in which the weight of a measured delay is halved. It
	// is about the time of a call, so that all endpoints contribute.
	delayHalfLife = 250 * time.Millisecond
	// reportLifetime is how long what an owner has measured is used.
	reportLifetime = time.Second
)

// Report is what the owner of a pool tells other relays of it.
type Report struct {
	Items     int           // queued and in flight, apart from late ones, which new items pass
	Delay     time.Duration // recent mean time from an item being queued to its result; 0: not measured
	DelayAge  time.Duration // time since the last of these results
	OverShare []string      // the largest teams that use more than an equal share while the pool is crowded; it is not modified
}

// After returns what still holds of a report after some time.
func (r Report) After(d time.Duration) Report {
	r.DelayAge += d
	if r.DelayAge >= reportLifetime {
		r.Delay, r.DelayAge = 0, 0
	}
	if d >= reportLifetime {
		r.OverShare = nil
	}
	return r
}

// sharedPool is the state of a pool whose calls are spaced evenly and whose items are
// ordered by the shares of teams.
type sharedPool struct {
	meanTime  time.Duration // of recent calls; 0: none has ended
	slowdown  float64       // mean time of recent calls relative to that of the configuration
	lastStart time.Time     // of the pool's last call
	heldUntil time.Time     // a call is held back until then; zero: none is
	ledger    ledger
	over      []string  // the largest teams over an equal share when the items were last ordered
	overAt    time.Time // when that was
	delaySum  float64   // seconds from being queued to the result, of recent items by weight
	delays    float64   // weight of these items
	delayAt   time.Time // of the last of them
}

// Share sets whether the calls of a pool are spaced evenly and its items ordered by
// the shares of teams.
func (s *Scheduler) Share(p Pool, on bool) {
	s.init()
	if !on {
		delete(s.shared, p)
	} else if s.shared[p] == nil {
		s.shared[p] = &sharedPool{slowdown: 1}
	}
}

// Report returns what other relays are told of a pool.
func (s *Scheduler) Report(now time.Time, p Pool) Report {
	r := Report{Items: s.ItemCount(p) - s.numLate(now, p)}
	sp := s.shared[p]
	if sp == nil {
		return r
	}
	if sp.delays > 0 {
		r.Delay, r.DelayAge = time.Duration(sp.delaySum/sp.delays*float64(time.Second)), now.Sub(sp.delayAt)
	}
	if now.Sub(sp.overAt) < reportLifetime {
		r.OverShare = sp.over
	}
	return r.After(0)
}

// numLate returns the number of a pool's queued items that new items pass, as they can't be
// done by their Due time.
func (s *Scheduler) numLate(now time.Time, p Pool) int {
	n := 0
	for _, it := range s.queues[p] {
		if !it.Due.Before(now) {
			break
		}
		if !it.FreesMemory {
			n++
		}
	}
	return n
}

// Reports returns the reports of all pools with items.
func (s *Scheduler) Reports(now time.Time) map[Pool]Report {
	out := make(map[Pool]Report)
	for p := range s.ItemCounts() {
		out[p] = s.Report(now, p)
	}
	return out
}

// order marks the queued items of teams that use more than their share, if the pool is
// crowded.
func (sp *sharedPool) order(now time.Time, b *fleet.Batch, queue []*Item, slots int) {
	sp.over, sp.overAt = nil, now
	crowded := isCrowded(b, len(queue), slots)
	if crowded {
		sp.ledger.count(now, queue, time.Duration(sp.slowdown*float64(FullCallTime(b)))/time.Duration(b.MaxItems))
		sp.over = sp.ledger.largestOver()
	}
	for _, it := range queue {
		it.overShare, it.borrows = false, false
		if crowded {
			it.overShare, it.borrows = sp.ledger.isOver(it.Team)
		}
	}
}

// begin records that a call starts.
func (sp *sharedPool) begin(c *Call) {
	c.previousStart, sp.lastStart = sp.lastStart, c.StartedAt
	c.charged = sp.expectedTime(c.Service.Batch, len(c.Items))
	sp.ledger.decay(c.StartedAt)
	sp.ledger.charge(c.Items, c.charged)
}

// expectedTime returns the time that a call with n items takes, as recent ones took.
func (sp *sharedPool) expectedTime(b *fleet.Batch, n int) time.Duration {
	return time.Duration(sp.slowdown * float64(callTime(b, n)))
}

// NextStart returns the earliest time at which a call may start that Next has held
// back, and the zero time if there is none.
func (s *Scheduler) NextStart() time.Time {
	var first time.Time
	for p, sp := range s.shared {
		if len(s.queues[p]) > 0 && !sp.heldUntil.IsZero() && (first.IsZero() || sp.heldUntil.Before(first)) {
			first = sp.heldUntil
		}
	}
	return first
}

// hold reports whether a call to the last free slot of a pool that isn't full should
// start later, and sets heldUntil if so. Calls that start at even distances end at
// even distances, so that no endpoint takes all queued items and leaves almost
// empty calls to those that become free just after it. slots is the number of
// slots of the pool; calls to a single slot can't be spread.
func (sp *sharedPool) hold(now time.Time, b *fleet.Batch, items []*Item, slots int) bool {
	mean := sp.meanTime
	if mean == 0 {
		mean = FullCallTime(b)
	}
	start := sp.lastStart.Add(mean / time.Duration(slots))
	if slots == 1 || !now.Before(start) {
		return false
	}
	took := sp.expectedTime(b, len(items))
	for _, it := range items {
		if it.expiredAt(start) || (!now.Add(took).After(it.Due) && start.Add(took).After(it.Due)) {
			return false
		}
	}
	sp.heldUntil = start
	return true
}

// finish records the end of a call. One that the endpoint didn't run doesn't delay
// the next.
func (sp *sharedPool) finish(now time.Time, c *Call, o Outcome) {
	took := now.Sub(c.StartedAt)
	switch {
	case o.Refs != nil:
		if sp.meanTime == 0 {
			sp.meanTime = took
		}
		sp.meanTime += time.Duration(timeWeight * float64(took-sp.meanTime))
		if usual := callTime(c.Service.Batch, len(c.Items)); usual > 0 {
			sp.slowdown += timeWeight * (float64(took)/float64(usual) - sp.slowdown)
		}
		sp.recordDelays(now, c, o)
	case o.Rejected || took == 0:
		sp.ledger.charge(c.Items, -c.charged)
		if sp.lastStart.Equal(c.StartedAt) {
			sp.lastStart = c.previousStart
		}
	}
}

// recordDelays adds the items of a call to the measured delay. Those of teams
// that use more than an equal share are left out: they wait longer than the items of
// other teams will.
func (sp *sharedPool) recordDelays(now time.Time, c *Call, o Outcome) {
	factor := math.Exp2(-now.Sub(sp.delayAt).Seconds() / delayHalfLife.Seconds())
	sp.delaySum *= factor
	sp.delays *= factor
	for i, it := range c.Items {
		if o.Refs[i] != "" && !it.borrows {
			sp.delaySum += now.Sub(it.EnqueuedAt).Seconds()
			sp.delays++
			sp.delayAt = now
		}
	}
}

// callTime returns the processing time of a call with n items.
func callTime(b *fleet.Batch, n int) time.Duration {
	return b.CallOverhead + time.Duration(n)*b.ItemTime
}
