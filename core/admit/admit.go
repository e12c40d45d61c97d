// Package admit shares an overloaded pipeline among teams by their weights.
package admit

import (
	"fmt"
	"sync"
	"time"
)

const (
	minLimit    = 4
	growEach    = 1 // completions for each slot of growth; the next sign of full endpoints takes it back
	retryAfter  = 300 * time.Millisecond
	cutInterval = 100 * time.Millisecond
)

// OverShareError says that a team has its share of an overloaded pipeline in use.
type OverShareError struct {
	Team       string
	RetryAfter time.Duration
}

// Error names the team.
func (e *OverShareError) Error() string {
	return fmt.Sprintf("team %s uses its share of an overloaded pipeline", e.Team)
}

type share struct {
	weight int
	active int
}

// Fair limits the concurrent requests of one pipeline at one entry. It has no
// limit until endpoints run out of room; then it holds at that load and grows
// again with completions. A team below its share gets in regardless. The
// zero value is ready to use. It is safe for concurrent use.
type Fair struct {
	mu      sync.Mutex
	limit   int // 0: none
	total   int
	done    int
	cutAt   time.Time
	teams   map[string]*share
	weights int // of active teams
}

// Enter admits one request of a team with a weight, or returns *OverShareError.
// Each admitted request is paired with one Leave.
func (f *Fair) Enter(team string, weight int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.teams[team]
	if f.limit > 0 && f.total >= f.limit && !f.underShare(s, weight) {
		return &OverShareError{Team: team, RetryAfter: retryAfter}
	}
	if s == nil {
		if f.teams == nil {
			f.teams = make(map[string]*share)
		}
		s = &share{weight: weight}
		f.teams[team] = s
		f.weights += weight
	}
	s.active++
	f.total++
	return nil
}

func (f *Fair) underShare(s *share, weight int) bool {
	if s == nil {
		return true
	}
	return s.active*f.weights < f.limit*weight
}

// Leave records the end of a request.
func (f *Fair) Leave(team string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.teams[team]
	s.active--
	f.total--
	if s.active == 0 {
		delete(f.teams, team)
		f.weights -= s.weight
	}
	f.done++
	if f.limit > 0 && f.done >= growEach {
		f.done = 0
		f.limit++
	}
}

// NoRoom records that no endpoint had room for a request at now: what is in
// without that one is as much as the endpoints bear.
func (f *Fair) NoRoom(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.cutAt) < cutInterval {
		return
	}
	f.cutAt = now
	f.limit = max(f.total-1, minLimit)
}

// Active returns how many requests are in and the limit, 0 for none.
func (f *Fair) Active() (total, limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total, f.limit
}
