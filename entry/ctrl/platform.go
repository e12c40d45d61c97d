package ctrl

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wigeonplank.example/base/fetch"
	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/roster"
)

// listInterval is the mean interval between reads of the instance list. Each wait
// varies by up to 25% so that entries don't read it at the same time.
const listInterval = 500 * time.Millisecond

// watchConfig reads the whole configuration once, then waits for newer revisions.
// It reads the whole again after each pause of the process. Failed reads are
// retried after a backoff with jitter, so that all entries together stay within
// the service's rate while it recovers.
func (c *Control) watchConfig(ctx context.Context) {
	failures := 0
	lastPauses := ^uint64(0) // pause count at the last read; no count matches it before the first
	for ctx.Err() == nil {
		pauses := c.pauseCount.Load()
		raw, err := c.readConfig(pauses != lastPauses)
		lastPauses = pauses
		if c.handleConfigRead(ctx, raw, err, pauses) {
			failures = 0
			continue
		}
		failures++
		if err != nil {
			c.cfg.Log.Warn().Err(err).Int("failures", failures).Msg("reading the configuration failed; retrying after a backoff")
		}
		wait.For(ctx, retry.Backoff{}.Delay(failures, rand.Float64()))
	}
}

// handleConfigRead applies the result of a read and reports whether the next read
// may follow without a backoff. It may not after a document that was not
// applied, because the service would return the same document every time. A
// read that started before the last pause doesn't count towards confirming the
// view.
func (c *Control) handleConfigRead(ctx context.Context, raw []byte, err error, pauses uint64) bool {
	verdict := make(chan conf.Verdict, 1)
	c.post(ctx, func() {
		if pauses == c.pauseCount.Load() {
			c.serviceRead = true
		}
		v := conf.VerdictSame
		if err == nil {
			v = c.offerDocument(raw, "service")
		}
		verdict <- v
	})
	select {
	case <-ctx.Done():
		return false
	case v := <-verdict:
		return errors.Is(err, fetch.ErrUnchanged) || (err == nil && v == conf.VerdictAccepted)
	}
}

// readConfig returns the published document. Unless whole is set or there is no
// configuration yet, it waits for a newer revision than the active one.
func (c *Control) readConfig(whole bool) ([]byte, error) {
	after := c.Table().Accepted.Revision()
	if whole || after == 0 {
		return c.cfg.Platform.ReadConfig()
	}
	return c.cfg.Platform.WatchConfig(after)
}

// pollList reads the instance list at regular intervals until ctx ends.
func (c *Control) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := c.cfg.Platform.ReadList()
		var damage *roster.DamageError
		switch {
		case errors.As(err, &damage):
			c.cfg.Log.Warn().Err(err).Msg("some instances can't be read; none counts as removed")
			c.post(ctx, func() { c.applyList(l) })
		case err != nil:
			c.cfg.Log.Warn().Err(err).Msg("reading the instance list failed; keeping the previous one")
		default:
			c.post(ctx, func() { c.applyList(l) })
		}
		wait.For(ctx, time.Duration(float64(listInterval)*(0.75+rand.Float64()/2)))
	}
}

// applyList applies an instance list. It runs on the control goroutine.
func (c *Control) applyList(l roster.List) {
	c.listRead = true
	if c.roster.Apply(c.cfg.Clock.Now(), l) {
		c.rebuildTable()
	}
}
