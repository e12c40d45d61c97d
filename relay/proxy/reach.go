package proxy

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	reachInterval    = time.Second // for which the result of a check counts
	maxReachFailures = 2           // checks in a row after which an endpoint is lost; one may fail for a lost packet
	reachMemory      = time.Minute // for which the last check of an endpoint is remembered
)

// reachability tells whether silent endpoints accept connections. Requests that wait for the
// same endpoint share its checks. The zero value is ready to use. It is safe for concurrent
// use.
type reachability struct {
	mu     sync.Mutex
	checks map[string]*reachCheck // by endpoint ID
}

// reachCheck is the last check of an endpoint.
type reachCheck struct {
	at       time.Time
	failures int // in a row
}

// isLost reports whether an endpoint refuses connections, or check has failed several times
// in a row. It calls check unless its last result still counts.
func (r *reachability) isLost(now time.Time, endpoint string, check func() error) bool {
	c, due := r.begin(now, endpoint)
	var err error
	if due {
		err = check()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !due:
	case err == nil:
		c.failures = 0
	case errors.Is(err, syscall.ECONNREFUSED):
		c.failures = maxReachFailures
	default:
		c.failures++
	}
	return c.failures >= maxReachFailures
}

// begin returns the last check of an endpoint, and whether the next one is due.
func (r *reachability) begin(now time.Time, endpoint string) (c *reachCheck, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, old := range r.checks {
		if now.Sub(old.at) > reachMemory {
			delete(r.checks, id)
		}
	}
	if r.checks == nil {
		r.checks = make(map[string]*reachCheck)
	}
	if c = r.checks[endpoint]; c == nil {
		c = &reachCheck{}
		r.checks[endpoint] = c
	}
	if now.Sub(c.at) < reachInterval {
		return c, false
	}
	c.at = now
	return c, true
}
