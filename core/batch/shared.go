package batch

import (
	"time"

	"wigeonplank.example/core/fleet"
)

// timeWeight is the weight of a call in the mean time of a pool's calls. About the
// last 16 calls count, which are a fraction of a second of a busy pool.
const timeWeight = 1.0 / 16

// sharedPool is the state of a pool whose calls are spaced evenly.
type sharedPool struct {
	meanTime  time.Duration // of recent calls; 0: none has ended
	slowdown  float64       // mean time of recent calls relative to that of the configuration
	lastStart time.Time     // of the pool's last call
	heldUntil time.Time     // a call is held back until then; zero: none is
}

// Share sets whether the calls of a pool are spaced evenly.
func (s *Scheduler) Share(p Pool, on bool) {
	s.init()
	if !on {
		delete(s.shared, p)
	} else if s.shared[p] == nil {
		s.shared[p] = &sharedPool{slowdown: 1}
	}
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
	took := time.Duration(sp.slowdown * float64(callTime(b, len(items))))
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
	case (o.Rejected || took == 0) && sp.lastStart.Equal(c.StartedAt):
		sp.lastStart = c.previousStart
	}
}

// callTime returns the processing time of a call with n items.
func callTime(b *fleet.Batch, n int) time.Duration {
	return b.CallOverhead + time.Duration(n)*b.ItemTime
}
