package ctrl

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/repl"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

const (
	// maxTickGap is the time between two ticks above which this process was paused.
	maxTickGap = 500 * time.Millisecond
	// loggedTickGap is the time between two ticks from which on it is logged.
	loggedTickGap = 200 * time.Millisecond
	// wakeTime is how long after a pause this process may read messages from before it.
	wakeTime = time.Second
	// refreshInterval is the least time between the beginnings of two refreshes.
	refreshInterval = 500 * time.Millisecond
)

// contacts tells what the contacts with the store prove of the view. It is safe for
// concurrent use.
type contacts struct {
	mu       sync.Mutex
	tickedAt time.Time // last tick
	wokeAt   time.Time // end of the last pause of this process; zero: none
	lostAt   time.Time // when a read failed first after one that didn't; zero: never

	refreshing  sync.Mutex // held while Refresh reads; guards refreshedAt and triedAt
	refreshedAt time.Time  // beginning of the last read that succeeded
	triedAt     time.Time  // beginning of the last read
}

func (t *contacts) recordLoss(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostAt = now
}

// contactTime returns the time as of which the store has responded to a read that began at begun and
// ends now. The response may be from before a pause of this process.
func (c *Control) contactTime(begun, now time.Time) time.Time {
	t := &c.contacts
	t.mu.Lock()
	defer t.mu.Unlock()
	if !begun.IsZero() && (t.wokeAt.After(begun) || now.Sub(t.tickedAt) > maxTickGap) {
		return begun
	}
	return now
}

// isNews reports whether a message of another process that is read at now was sent lately. It may
// have waited while this process stood still.
func (t *contacts) isNews(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wokeAt.IsZero() || now.Sub(t.wokeAt) > wakeTime
}

// Tick records that this process runs. It must be called several times in maxTickGap.
func (c *Control) Tick() {
	now, t := c.Clock.Now(), &c.contacts
	t.mu.Lock()
	defer t.mu.Unlock()
	gap := now.Sub(t.tickedAt)
	if !t.tickedAt.IsZero() && gap > maxTickGap {
		t.wokeAt = now
	}
	if !t.tickedAt.IsZero() && gap > loggedTickGap {
		c.Log.Event(logs.ProcessStalled).Dur("took_ms", gap).Msg("")
	}
	t.tickedAt = now
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
	lostAt := c.contacts.lostAt
	return !lostAt.IsZero() && !last.After(lostAt)
}

// readChanges reads the changes to the store that the replica lacks, and applies them.
func (c *Control) readChanges(ctx context.Context) bool {
	after := c.Position().Point
	if after.Revision < 0 {
		return false
	}
	begun := c.Clock.Now()
	entries, to, err := c.Store.Watch(plat.AllPrefix, after, 0, probeTimeout)
	if err != nil {
		if !errors.Is(err, plat.ErrCompacted) {
			c.contacts.recordLoss(c.Clock.Now())
		}
		return false
	}
	if to == after {
		c.recordContact(begun)
	} else {
		c.send(ctx, update{begun: begun, Update: repl.Update{Entries: entries, After: after.Revision, To: to.Revision, Era: to.Era}})
		c.send(ctx, update{recheck: true}) // taken once the changes are applied
	}
	return ctx.Err() == nil && !c.Position().Before(to)
}
