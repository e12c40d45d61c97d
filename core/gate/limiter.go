package gate

import "time"

// limiter adapts the number of work items in flight at an endpoint. The limit
// grows only on a recent load report that the endpoint is warm: probing the
// capacity of a cold endpoint would overload it.
type limiter struct {
	limit              float64
	slowStartThreshold float64 // each completion adds 1 to a limit below it, and 1/limit to one above it
	maxLimit           float64
	minLimit           float64 // limit of a cold endpoint
	cold               bool
	suspected          bool          // cold by the endpoint's pace only; it has not reported that it is cold
	lastWarmAt         time.Time     // when the latest warm report was measured
	lastColdAt         time.Time     // time of the latest evidence that the endpoint is cold
	baselineUnitTime   time.Duration // lowest recentUnitTime since the endpoint was last cold, raised by baselineGrowth; 0: none
	recentUnitTime     time.Duration // moving average of the service time per unit of output
}

func newLimiter(s Settings) limiter {
	return limiter{
		limit:              float64(s.ColdLimit),
		slowStartThreshold: float64(s.WarmLimit),
		maxLimit:           float64(s.WarmLimit),
		minLimit:           float64(s.ColdLimit),
		cold:               true,
	}
}

// observeReport applies a load report and reports whether it lowered the limit.
func (l *limiter) observeReport(r LoadReport) bool {
	if r.Cold {
		l.cold = true
		l.suspected = false
		return l.markCold(r.At)
	}
	if r.At.After(l.lastColdAt) {
		if l.suspected {
			// The endpoint is slow, but not cold: half of the former limit instead of
			// growth from the limit of a cold endpoint.
			l.limit = max(l.limit, l.slowStartThreshold)
		}
		l.cold, l.suspected = false, false
		l.lastWarmAt = r.At
	}
	return false
}

// suspectCold is markCold for evidence other than the endpoint's own report. A later
// report of a warm endpoint refutes it.
func (l *limiter) suspectCold(now time.Time) bool {
	wasCold := l.cold
	lowered := l.markCold(now)
	l.suspected = l.suspected || (lowered && !wasCold)
	return lowered
}

// markCold sets the limit to that of a cold endpoint and reports whether this
// lowered it. The limit grows again only after a warm report measured after now.
func (l *limiter) markCold(now time.Time) bool {
	lowered := l.limit > l.minLimit
	if lowered {
		l.slowStartThreshold = max(l.limit/2, l.minLimit)
	}
	l.limit = l.minLimit
	l.cold = true
	l.lastColdAt = now
	l.baselineUnitTime = 0
	l.recentUnitTime = 0
	return lowered
}

// observeCompletion adjusts the limit after completed work and reports whether
// the service time shows that the endpoint turned cold. saturated tells whether
// at most one slot was unused; otherwise success is no evidence of more capacity.
func (l *limiter) observeCompletion(now time.Time, c Completion, saturated bool) bool {
	if !c.OK {
		l.slowStartThreshold = max(l.limit/2, l.minLimit)
		l.limit = l.slowStartThreshold
		return false
	}
	unitTime := c.ServiceTime / time.Duration(max(c.Units, 1))
	l.recentUnitTime = smooth(l.recentUnitTime, unitTime)
	if l.baselineUnitTime == 0 || l.recentUnitTime < l.baselineUnitTime {
		l.baselineUnitTime = l.recentUnitTime
	} else {
		l.baselineUnitTime = time.Duration(float64(l.baselineUnitTime) * baselineGrowth)
	}
	if l.isSlow(c.ServiceTime, max(c.Units, 1)) {
		return l.suspectCold(now)
	}
	if saturated && l.canGrow(now) {
		l.grow()
	}
	return false
}

// isSlow reports whether units of output took far longer than the baseline of
// the warm endpoint. Noise of a busy machine on short calls doesn't count.
func (l *limiter) isSlow(elapsed time.Duration, units int) bool {
	if l.cold || l.baselineUnitTime == 0 {
		return false
	}
	expected := time.Duration(units) * l.baselineUnitTime
	return float64(elapsed) > slowdownFactor*float64(expected) && elapsed-expected > minSlowdown
}

func (l *limiter) canGrow(now time.Time) bool {
	return !l.cold && now.Sub(l.lastWarmAt) <= maxReportAge
}

func (l *limiter) grow() {
	if l.limit < l.slowStartThreshold {
		l.limit++
	} else {
		l.limit += 1 / l.limit
	}
	l.limit = min(l.limit, l.maxLimit)
}
