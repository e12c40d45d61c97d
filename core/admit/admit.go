// Package admit limits the requests in flight of an overloaded pipeline, and
// shares the limit among teams by their weights.
package admit

import (
	"fmt"
	"sync"
	"time"
)

const (
	minLimit                = 4                      // requests in flight
	completionsPerIncrement = 1                      // the limit grows by 1 after this many; the next report of overload lowers it again
	retryAfter              = 300 * time.Millisecond // suggested to callers whose requests are rejected
	minCutInterval          = 100 * time.Millisecond // minimum time between two reports of overload that set the limit
)

// OverShareError is returned for a request of a team that has reached its share
// of an overloaded pipeline.
type OverShareError struct {
	Team       string
	RetryAfter time.Duration
}

// Error names the team.
func (e *OverShareError) Error() string {
	return fmt.Sprintf("team %s uses its share of an overloaded pipeline", e.Team)
}

// share is the usage of a team that has requests in flight.
type share struct {
	weight   int
	inFlight int
}

// Limiter limits the concurrent requests of one pipeline at one entry. There is no
// limit until endpoints run out of capacity. The limit is then set to the number
// of requests in flight, and grows again as requests complete. Requests of a team
// below its share are admitted even if the limit is reached. The zero value is
// ready to use. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	limit       int // 0: no limit
	inFlight    int
	completions int               // since the limit last grew
	limitCutAt  time.Time         // when a report of overload last set the limit
	teams       map[string]*share // teams with requests in flight
	totalWeight int               // sum of the weights in teams
}

// Acquire admits one request of a team with a weight, or returns *OverShareError.
// Each admitted request is paired with one call of Release.
func (l *Limiter) Acquire(team string, weight int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.teams[team]
	if l.limit > 0 && l.inFlight >= l.limit && !l.isBelowShare(s, weight) {
		return &OverShareError{Team: team, RetryAfter: retryAfter}
	}
	if s == nil {
		if l.teams == nil {
			l.teams = make(map[string]*share)
		}
		s = &share{weight: weight}
		l.teams[team] = s
		l.totalWeight += weight
	}
	s.inFlight++
	l.inFlight++
	return nil
}

// isBelowShare reports whether a team has fewer requests in flight than its share
// of the limit. s is nil if it has no requests in flight. l.mu must be held.
func (l *Limiter) isBelowShare(s *share, weight int) bool {
	if s == nil {
		return true
	}
	return s.inFlight*l.totalWeight < l.limit*weight
}

// Release records the end of a request that was admitted.
func (l *Limiter) Release(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.teams[team]
	s.inFlight--
	l.inFlight--
	if s.inFlight == 0 {
		delete(l.teams, team)
		l.totalWeight -= s.weight
	}
	l.completions++
	if l.limit > 0 && l.completions >= completionsPerIncrement {
		l.completions = 0
		l.limit++
	}
}

// ReportOverload records that at now, no endpoint had capacity for an admitted
// request. The number of other requests in flight is taken as the load that the
// endpoints sustain, and becomes the limit, but not less than minLimit. A report
// within minCutInterval of the last one that set the limit is ignored.
func (l *Limiter) ReportOverload(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.limitCutAt) < minCutInterval {
		return
	}
	l.limitCutAt = now
	l.limit = max(l.inFlight-1, minLimit)
}

// Active returns the number of requests in flight and the limit, or 0 if there
// is no limit.
func (l *Limiter) Active() (inFlight, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, l.limit
}
