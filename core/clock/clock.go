// Package clock passes the time to code that must not read it for itself.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface {
	// Now returns the current time, with a monotonic reading where the
	// implementation has one.
	Now() time.Time
}

// System is the machine's clock. The zero value is ready to use.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// Fake is a clock that moves only when told to. The zero value starts at the
// zero time. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake that shows start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time that the clock shows.
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

// Gap reports pauses of the process: an interval between two ticks that is
// longer than a threshold. The zero value is ready to use.
type Gap struct {
	last time.Time
}

// Tick records a tick at now and reports whether more than limit has passed
// since the one before.
func (g *Gap) Tick(now time.Time, limit time.Duration) bool {
	paused := !g.last.IsZero() && now.Sub(g.last) > limit
	g.last = now
	return paused
}
