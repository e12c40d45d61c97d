package notice

import (
	"math"
	"time"
)

const (
	minPeriod = 4200 * time.Millisecond // over which allowances apply at least, so that low limits can be shared among relays; above the 4 s in which endpoints count, as requests sent that far apart may arrive closer together
	maxPeriod = 10 * time.Second        // an endpoint is tried once in this period also at a lower limit, as only a response tells that the limit has ended
)

// Allowance is the number of requests that an endpoint takes in any period of a
// given length.
type Allowance struct {
	Requests int
	Period   time.Duration
}

// Allowance returns the requests that all relays together may send to the
// endpoint, at least one in a period. It reports false if there is no limit.
func (n Notice) Allowance() (Allowance, bool) {
	if !n.limited {
		return Allowance{}, false
	}
	if n.rateLimit <= 1/maxPeriod.Seconds() {
		return Allowance{Requests: 1, Period: maxPeriod}, true
	}
	period := max(minPeriod, time.Duration(math.Ceil(float64(time.Second)/n.rateLimit)))
	requests := min(n.rateLimit*period.Seconds(), math.MaxInt32)
	return Allowance{Requests: max(1, int(requests)), Period: period}, true
}

// Rate returns the requests per second that an allowance permits on average.
func (a Allowance) Rate() float64 { return float64(a.Requests) / a.Period.Seconds() }

// perSecond returns the requests that an allowance permits in any one second, so
// that they spread over its period.
func (a Allowance) perSecond() int {
	return int(math.Ceil(a.Rate()))
}

// Sends records the requests that this relay has sent to an endpoint. The zero value
// is empty. It is not safe for concurrent use.
type Sends struct {
	times []time.Time // in order; none older than maxPeriod
}

// Add records a request that is sent at now.
func (s *Sends) Add(now time.Time) {
	n := 0
	for n < len(s.times) && now.Sub(s.times[n]) > maxPeriod {
		n++
	}
	s.times = append(s.times[n:], now)
}

// OpensAt returns the time from which an allowance permits the next request. It
// reports false if the allowance is empty.
func (s *Sends) OpensAt(a Allowance) (time.Time, bool) {
	if a.Requests <= 0 {
		return time.Time{}, false
	}
	opens := s.after(a.Requests, a.Period)
	if t := s.after(a.perSecond(), time.Second); t.After(opens) {
		opens = t
	}
	return opens, true
}

// after returns when fewer than n requests have been sent in the last period.
func (s *Sends) after(n int, period time.Duration) time.Time {
	if len(s.times) < n {
		return time.Time{}
	}
	return s.times[len(s.times)-n].Add(period)
}
