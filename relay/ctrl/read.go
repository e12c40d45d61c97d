package ctrl

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/repl"
	"wigeonplank.example/core/retry"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// Timing of reads from the store.
const (
	aloneWatchWait   = 4 * time.Second        // of a watch if every relay reads; one whose response is lost fails after this and readTimeout, by the time the store counts as stable again
	minWatchWait     = time.Second            // of a watch that other relays depend on; the wait varies up to twice this, so that the watches of relays don't coincide
	coalesceDelay    = 250 * time.Millisecond // before the next read, so that one read returns several changes
	turnInterval     = 100 * time.Millisecond // between two checks of whether this relay has to read
	startInterval    = 10 * time.Millisecond  // instead of turnInterval until the first update
	backoffBase      = 100 * time.Millisecond
	maxBackoff       = 500 * time.Millisecond
	readTimeout      = time.Second             // a store under load takes 200 ms to respond
	probeTimeout     = 700 * time.Millisecond  // for reads after a failed one: requests sent during an outage may never be answered
	longProbeTimeout = 1500 * time.Millisecond // instead of probeTimeout after every longProbeEvery-th failed read, in case the store is slower than that
	longProbeEvery   = 4

	// While entries are missing, reads follow one another so closely that an endpoint is
	// dropped soon after its grace period.
	missingWatchWait     = 100 * time.Millisecond // instead of the usual wait
	missingCoalesceDelay = 100 * time.Millisecond // instead of coalesceDelay
)

// followStore reads the store while it is this relay's turn, and sends the changes
// to the control goroutine. A single watch covers all keys, as one for operators'
// keys and one for endpoints would double the calls to the store.
func (c *Control) followStore(ctx context.Context) {
	failures, lostAt, failedAt, full := 0, time.Time{}, time.Time{}, false
	for ctx.Err() == nil {
		if !c.mustRead(failures) {
			c.awaitTurn(ctx)
			continue
		}
		begun := c.Clock.Now()
		u, err := c.readStore(full, failures)
		if errors.Is(err, plat.ErrCompacted) && !full {
			c.Log.Event(logs.HistoryCompacted).Int64("after", c.Position().Revision).Msg("")
			full = true
			continue
		}
		if err != nil {
			failures++
			failedAt = c.Clock.Now()
			if failures == 1 {
				lostAt = failedAt
				c.contacts.recordLoss(lostAt)
				c.Log.Event(logs.StoreLost).Err(err).Msg("")
			}
			wait.For(ctx, retry.Backoff{Base: backoffBase, Max: maxBackoff}.Delay(failures, rand.Float64()))
			continue
		}
		if failures > 0 {
			c.Log.Event(logs.StoreRegained).Int("failures", failures).Dur("lost_ms", c.Clock.Now().Sub(lostAt)).Msg("")
		}
		if failures > 0 {
			u.failed, u.outage = true, c.endsOutage(failedAt)
		}
		failures, full, u.begun = 0, false, begun
		c.submitRead(ctx, u)
	}
}

// mustRead reports whether this relay has to read the store now, after a number of
// failed reads in a row.
func (c *Control) mustRead(failures int) bool {
	reads, _ := c.Reads()
	size := c.Size()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.ShouldRead(c.Clock.Now(), reads, size, failures)
}

// endsOutage reports whether a read may be the first one after an outage of the store,
// given the time of this relay's last failed read. It isn't if another relay read the
// store so much later that each one that reads has noticed the end of that outage.
func (c *Control) endsOutage(failedAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.follower.ReadSince(failedAt.Add(longProbeTimeout + maxBackoff))
}

// awaitTurn waits a moment while other relays read the store. Endpoints that are
// overdue according to them are dropped.
func (c *Control) awaitTurn(ctx context.Context) {
	if c.awaitsReturn() {
		c.send(ctx, update{recheck: true})
	}
	if !c.loaded.Load() {
		wait.For(ctx, startInterval)
		return
	}
	wait.For(ctx, turnInterval)
}

// submitRead hands the result of a read to the control goroutine, and waits a
// moment if there were changes.
func (c *Control) submitRead(ctx context.Context, u update) {
	// While entries are missing, an update without changes still lets the control
	// goroutine drop those whose grace period is over.
	if !u.Full && !u.failed && len(u.Entries) == 0 && !c.awaitsReturn() {
		c.recordContact(u.begun)
		return
	}
	c.send(ctx, u)
	wait.For(ctx, c.readDelay())
}

// readDelay returns the wait between a read with changes and the next one.
func (c *Control) readDelay() time.Duration {
	if c.awaitsReturn() {
		return missingCoalesceDelay
	}
	return coalesceDelay
}

// send hands an update to the control goroutine.
func (c *Control) send(ctx context.Context, u update) {
	select {
	case <-ctx.Done():
	case c.updates <- u:
	}
}

// readTiming returns how long the next read may wait for changes, and the timeout
// for the response beyond that wait, given the usual wait and the number of failed
// reads in a row. After a failure, reads don't wait for changes, so that the end of
// an outage is noticed soon.
func readTiming(usual time.Duration, failures int) (maxWait, timeout time.Duration) {
	switch {
	case failures == 0:
		return usual, readTimeout
	case failures%longProbeEvery == 0:
		return 0, longProbeTimeout
	}
	return 0, probeTimeout
}

// watchWait returns how long a watch may wait for changes. Relays that don't read
// the store judge by the age of its readers' last contact whether these still reach
// it.
func (c *Control) watchWait() time.Duration {
	if _, alone := c.Reads(); alone {
		return aloneWatchWait
	}
	return minWatchWait + time.Duration(rand.Float64()*float64(minWatchWait))
}

// readStore returns the changes after the replica's revision, or the whole store if
// full is set or the replica is empty.
func (c *Control) readStore(full bool, failures int) (update, error) {
	maxWait, timeout := readTiming(c.watchWait(), failures)
	if c.awaitsReturn() {
		maxWait = min(maxWait, missingWatchWait)
	}
	after := c.Position().Point
	if after.Revision < 0 || full {
		entries, to, err := c.Store.Range(plat.AllPrefix, timeout)
		if err != nil {
			return update{}, err
		}
		if to.Era < after.Era {
			return update{}, repl.ErrFormerEra
		}
		return update{Update: repl.Update{Entries: entries, Full: true, To: to.Revision, Era: to.Era}}, nil
	}
	entries, to, err := c.Store.Watch(plat.AllPrefix, after, maxWait, timeout)
	if err != nil {
		return update{}, err
	}
	return update{Update: repl.Update{Entries: entries, After: after.Revision, To: to.Revision, Era: to.Era}}, nil
}
