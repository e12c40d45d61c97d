package gate

import "time"

// ramp sets how much an endpoint may carry at a time. It grows only while the
// endpoint itself reports, freshly, that it is warm: finding the bound of a cold
// endpoint by trying would overrun it.
type ramp struct {
	limit     float64
	threshold float64 // growth is by one for each good end below it, slower above
	most      float64
	floor     float64
	cold      bool
	warmAt    time.Time // when the endpoint measured the newest warm report
	cutAt     time.Time
	unit      time.Duration // lowest smoothed time for one unit
	recent    time.Duration // smoothed time for one unit
}

func newRamp(s Settings) ramp {
	return ramp{
		limit:     float64(s.ColdLimit),
		threshold: float64(s.Max),
		most:      float64(s.Max),
		floor:     float64(s.ColdLimit),
		cold:      true,
	}
}

// report takes the endpoint's word on its temperature and reports whether the
// limit was cut.
func (r *ramp) report(rep Report) bool {
	if rep.Cold {
		r.cold = true
		return r.cut(rep.At)
	}
	if rep.At.After(r.cutAt) {
		r.cold = false
		r.warmAt = rep.At
	}
	return false
}

// cut sets the limit to what the cold endpoint bears and reports whether that
// lowered it. Only a warm report measured after now allows growth again.
func (r *ramp) cut(now time.Time) bool {
	lowered := r.limit > r.floor
	if lowered {
		r.threshold = max(r.limit/2, r.floor)
	}
	r.limit = r.floor
	r.cold = true
	r.cutAt = now
	r.unit = 0
	r.recent = 0
	return lowered
}

// finish adjusts the limit by ended work and reports whether it was cut. wanted
// says that the limit was in use.
func (r *ramp) finish(now time.Time, s Sample, wanted bool) bool {
	if !s.OK {
		r.threshold = max(r.limit/2, r.floor)
		r.limit = r.threshold
		return false
	}
	unit := s.Service / time.Duration(max(s.Units, 1))
	r.recent = smooth(r.recent, unit)
	if r.unit == 0 || r.recent < r.unit {
		r.unit = r.recent
	} else {
		r.unit = time.Duration(float64(r.unit) * baselineDrift)
	}
	if r.jumped(s.Service, max(s.Units, 1)) {
		return r.cut(now)
	}
	if wanted && r.mayGrow(now) {
		r.grow()
	}
	return false
}

// jumped reports whether so many units took far longer than they do on the warm
// endpoint. What a busy machine adds to a short call is no sign of anything.
func (r *ramp) jumped(took time.Duration, units int) bool {
	if r.cold || r.unit == 0 {
		return false
	}
	usual := time.Duration(units) * r.unit
	return float64(took) > jumpFactor*float64(usual) && took-usual > minJump
}

func (r *ramp) mayGrow(now time.Time) bool {
	return !r.cold && now.Sub(r.warmAt) <= reportFresh
}

func (r *ramp) grow() {
	if r.limit < r.threshold {
		r.limit++
	} else {
		r.limit += 1 / r.limit
	}
	r.limit = min(r.limit, r.most)
}
