package ctrl

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/repl"
	plat "wigeonplank.example/platform"
)

// refreshInterval is the least time between the beginnings of two refreshes.
const refreshInterval = 500 * time.Millisecond

// contacts tells what the contacts with the store prove of the view. It is safe for
// concurrent use.
type contacts struct {
	mu     sync.Mutex
	lostAt time.Time // when a read failed first after one that didn't; zero: never

	refreshing  sync.Mutex // held while Refresh reads; guards refreshedAt and triedAt
	refreshedAt time.Time  // beginning of the last read that succeeded
	triedAt     time.Time  // beginning of the last read
}

func (t *contacts) recordLoss(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostAt = now
}

// Refresh brings the view up to date with the store as of a time that is at most maxAge
// before the call. It reports false if that isn't possible. It blocks for refreshInterval
// and a read from the store at most.
func (c *Control) Refresh(ctx context.Context, maxAge time.Duration) bool {
	t, since := &c.contacts, c.Clock.Now().Add(-maxAge)
	if c.isLost() {
		return false
	}
	t.refreshing.Lock()
	defer t.refreshing.Unlock()
	if t.refreshedAt.After(since) {
		return true
	}
	wait.For(ctx, refreshInterval-c.Clock.Now().Sub(t.triedAt))
	if ctx.Err() != nil || c.isLost() { // those that waited before may have found out
		return false
	}
	t.triedAt = c.Clock.Now()
	if !c.readChanges(ctx) {
		return false
	}
	t.refreshedAt = t.triedAt
	return true
}

// isLost reports whether the last read of this process from the store failed, and no
// contact of any process is newer.
func (c *Control) isLost() bool {
	last := c.Position().Contact.At
	c.contacts.mu.Lock()
	defer c.contacts.mu.Unlock()
	return !last.After(c.contacts.lostAt)
}

// readChanges reads the changes to the store that the replica lacks, and applies them.
func (c *Control) readChanges(ctx context.Context) bool {
	after := c.Position().Point
	if after.Revision < 0 {
		return false
	}
	entries, to, err := c.Store.Watch(plat.AllPrefix, after, 0, probeTimeout)
	if err != nil {
		if !errors.Is(err, plat.ErrCompacted) {
			c.contacts.recordLoss(c.Clock.Now())
		}
		return false
	}
	if to != after {
		c.send(ctx, update{Update: repl.Update{Entries: entries, After: after.Revision, To: to.Revision, Era: to.Era}})
		c.send(ctx, update{recheck: true}) // taken once the changes are applied
	}
	return ctx.Err() == nil && !c.Position().Before(to)
}
