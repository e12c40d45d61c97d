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

const listInterval = 500 * time.Millisecond

// watchConfig reads the configuration service once, then waits for newer
// revisions. Failures are spaced by a backoff with jitter, so that all entries
// together stay within the service's rate while it recovers.
func (c *Control) watchConfig(ctx context.Context) {
	failures := 0
	seen := ^uint64(0) // pauses as of the last whole read: none yet
	for ctx.Err() == nil {
		pauses := c.pauses.Load()
		raw, err := c.readConfig(pauses != seen)
		seen = pauses
		if c.heardService(ctx, raw, err, pauses) {
			failures = 0
			continue
		}
		failures++
		if err != nil {
			c.cfg.Log.Warn().Err(err).Int("failures", failures).Msg("configuration service")
		}
		wait.For(ctx, retry.Backoff{}.Delay(failures, rand.Float64()))
	}
}

// heardService takes the end of a read into account and reports whether the
// next may follow at once. It may not after a document that was not put in
// force: the service would give the same one again and again. A read that began
// before the last pause says nothing of now.
func (c *Control) heardService(ctx context.Context, raw []byte, err error, pauses uint64) bool {
	verdict := make(chan conf.Verdict, 1)
	c.post(ctx, func() {
		if pauses == c.pauses.Load() {
			c.asked = true
		}
		v := conf.VerdictSame
		if err == nil {
			v = c.offer(raw, "service")
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

func (c *Control) readConfig(whole bool) ([]byte, error) {
	after := c.Table().Accepted.Revision()
	if whole || after == 0 {
		return c.cfg.Platform.ReadConfig()
	}
	return c.cfg.Platform.WatchConfig(after)
}

func (c *Control) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := c.cfg.Platform.ReadList()
		if err != nil {
			c.cfg.Log.Warn().Err(err).Msg("instance list")
		} else {
			c.post(ctx, func() { c.applyList(l) })
		}
		wait.For(ctx, time.Duration(float64(listInterval)*(0.75+rand.Float64()/2)))
	}
}

func (c *Control) applyList(l roster.List) {
	c.listed = true
	if c.roster.Apply(c.cfg.Clock.Now(), l) {
		c.rebuild()
	}
}
