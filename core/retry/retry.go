// Package retry limits the load that the retries of a process add to a fleet.
package retry

import (
	"cmp"
	"sync"
	"time"
)

// Defaults for a Budget and a Backoff.
const (
	DefaultRatio      = 0.2
	DefaultMaxBalance = 10.0
	DefaultBase       = 100 * time.Millisecond
	DefaultMax        = 5 * time.Second
)

// Budget limits retries to a ratio of first attempts. The zero value uses the
// defaults and starts at the maximum balance. It is safe for concurrent use.
type Budget struct {
	Ratio        float64 // retries added to the balance by each first attempt
	MaxBalance   float64 // maximum number of retries that can be saved up
	FixedRetries int     // retries for each request instead of a budget, as a baseline for comparison; 0: off

	mu          sync.Mutex
	balance     float64 // retries
	initialized bool
}

// initLocked sets the defaults at the first use. mu must be held.
func (b *Budget) initLocked() {
	if b.initialized {
		return
	}
	b.initialized = true
	if b.Ratio == 0 {
		b.Ratio = DefaultRatio
	}
	if b.MaxBalance == 0 {
		b.MaxBalance = DefaultMaxBalance
	}
	b.balance = b.MaxBalance
}

// Deposit records one first attempt, and adds Ratio to the balance.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.balance = min(b.balance+b.Ratio, b.MaxBalance)
}

// Withdraw reports whether a request that was retried a number of times may be
// retried once more. If so, it takes the retry from the balance, unless
// FixedRetries is set.
func (b *Budget) Withdraw(retries int) bool {
	if b.FixedRetries > 0 {
		return retries < b.FixedRetries
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Return puts back a retry that was withdrawn and not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.balance = min(b.balance+1, b.MaxBalance)
}

// Balance returns the number of retries that are left.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	return b.balance
}

// Resize replaces the ratio and the maximum balance by those of other. The balance stays,
// as far as the maximum allows.
func (b *Budget) Resize(other *Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.Ratio, b.MaxBalance = cmp.Or(other.Ratio, DefaultRatio), cmp.Or(other.MaxBalance, DefaultMaxBalance)
	b.balance = min(b.balance, b.MaxBalance)
}

// Backoff is an exponential delay before retries, with jitter. It is immutable;
// the zero value uses the defaults.
type Backoff struct {
	Base time.Duration // delay after the first failure, before jitter
	Max  time.Duration // maximum delay, before jitter
}

// Delay returns the delay after n consecutive failures, n from 1. jitter is a
// random number, uniform in [0,1); it scales the delay to between half of it and
// all of it.
func (b Backoff) Delay(n int, jitter float64) time.Duration {
	base, maxDelay := b.Base, b.Max
	if base == 0 {
		base = DefaultBase
	}
	if maxDelay == 0 {
		maxDelay = DefaultMax
	}
	delay := base
	for i := 1; i < n && delay < maxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, maxDelay)
	return time.Duration(float64(delay) * (0.5 + jitter/2))
}
