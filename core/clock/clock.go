// Package clock provides the current time to code that must be testable without
// reading the system clock, and detects pauses of the process.
package clock

import (
	"sync"
	"time"
)

// Clock provides the current time.
type Clock interface {
	// Now returns the current time, with a monotonic clock reading where the
	// implementation has one.
	Now() time.Time
}

// System is the system clock. The zero value is ready to use.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// Fake is a clock for tests that changes only by calls of Advance. The zero
// value starts at the zero time. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake set to start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time that the clock is set to.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// PauseDetector detects pauses of the process: two successive ticks that are further
// apart than a limit. The zero value is ready to use. It is not safe for
// concurrent use.
type PauseDetector struct {
	last time.Time // zero: no tick yet
}

// Tick records a tick at now and reports whether more than limit has passed
// since the previous one. The first tick returns false.
func (d *PauseDetector) Tick(now time.Time, limit time.Duration) bool {
	paused := !d.last.IsZero() && now.Sub(d.last) > limit
	d.last = now
	return paused
}
