// Package retry bounds how much work a process adds to a fleet by trying again.
package retry

import (
	"sync"
	"time"
)

// Defaults for a Budget and a Backoff.
const (
	DefaultShare   = 0.2
	DefaultReserve = 10.0
	DefaultBase    = 100 * time.Millisecond
	DefaultMax     = 5 * time.Second
)

// Budget lets retries be a share of first attempts. The zero value uses the
// defaults and starts full. It is safe for concurrent use.
type Budget struct {
	Share   float64 // retries earned by each first attempt
	Reserve float64 // the most that can be saved up
	Fixed   int     // baseline: this many retries for each request, no budget

	mu    sync.Mutex
	saved float64
	init  bool
}

func (b *Budget) prepare() {
	if b.init {
		return
	}
	b.init = true
	if b.Share == 0 {
		b.Share = DefaultShare
	}
	if b.Reserve == 0 {
		b.Reserve = DefaultReserve
	}
	b.saved = b.Reserve
}

// Earn records one first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare()
	b.saved = min(b.saved+b.Share, b.Reserve)
}

// Spend reports whether a request that has retried `done` times may retry once
// more, and takes the retry out of the budget if so.
func (b *Budget) Spend(done int) bool {
	if b.Fixed > 0 {
		return done < b.Fixed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Saved returns how many retries are left now.
func (b *Budget) Saved() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare()
	return b.saved
}

// Backoff is the wait before each of a sequence of tries. It is immutable; the
// zero value uses the defaults.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Wait returns the wait after n failures, n from 1. jitter is uniform in [0,1)
// and picks a time between half of the full wait and all of it.
func (b Backoff) Wait(n int, jitter float64) time.Duration {
	base, most := b.Base, b.Max
	if base == 0 {
		base = DefaultBase
	}
	if most == 0 {
		most = DefaultMax
	}
	full := base
	for i := 1; i < n && full < most; i++ {
		full *= 2
	}
	full = min(full, most)
	return time.Duration(float64(full) * (0.5 + jitter/2))
}
