package share

import (
	"slices"
	"sync"
	"time"
)

const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryShare = 1.0 / 3 // of the time that the caller has left; callers ignore a longer delay
	rateWindow    = 2 * time.Second
	maxRemembered = 4096 // times that Returns holds of each kind; with more, the spread grows no further
)

// Returns spreads the retries of rejected callers of one route over the time that serving
// them takes. The zero value is ready to use. It is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	due      []time.Time // when rejected callers were asked to retry
	admitted []time.Time // when requests were admitted in the last rateWindow
}

// RecordAdmitted records that a request of the route was admitted.
func (r *Returns) RecordAdmitted(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.admitted) == maxRemembered {
		r.admitted = slices.Delete(r.admitted, 0, maxRemembered/2)
	}
	r.admitted = append(r.admitted, now)
}

// RetryAfter returns after what time a rejected caller should retry. excess is the time in
// which the backlog will have fallen to the level at which the request would be admitted,
// and left is the time until the caller's deadline. random is between 0 and 1.
func (r *Returns) RetryAfter(now time.Time, excess, left time.Duration, random float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.due = slices.DeleteFunc(r.due, func(t time.Time) bool { return !t.After(now) })
	r.admitted = slices.DeleteFunc(r.admitted, func(t time.Time) bool { return now.Sub(t) >= rateWindow })

	longest := max(0, time.Duration(maxRetryShare*float64(left)))
	// Where the backlog outlasts that, the second half of it is used, so that the callers
	// don't return together.
	shortest := min(max(minRetryAfter, excess), max(longest/2, min(minRetryAfter, longest)))
	spread := longest - shortest
	if n := len(r.admitted); n > 0 {
		spread = min(spread, time.Duration(len(r.due)+1)*rateWindow/time.Duration(n))
	}
	d := shortest + time.Duration(random*float64(spread))
	if len(r.due) < maxRemembered {
		r.due = append(r.due, now.Add(d))
	}
	return d
}
