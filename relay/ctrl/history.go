package ctrl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/repl"
	plat "wigeonplank.example/platform"
)

const (
	historyInterval = 250 * time.Millisecond // least time between two reads of the whole history
	// historyCheckInterval is the time between two checks of whether there is a whole history. Stores
	// keep some 20 s of it.
	historyCheckInterval = 25 * time.Second
)

// ErrNoHistory reports that the store doesn't have the whole history any more, or not in a form from
// which anything can be concluded.
var ErrNoHistory = errors.New("the store no longer has its whole history")

// wholeHistory is the latest read of all that the store has ever held.
type wholeHistory struct {
	mu    sync.Mutex // held during a read, which those that wait for it share
	begun time.Time  // of the latest read; zero: none
	last  *origin.History
	err   error
}

// ReadHistory reads all that the store has ever held. It wraps ErrNoHistory if that isn't possible any
// more, and makes no further calls then. It blocks for a second at most for each call.
func (c *Control) ReadHistory(ctx context.Context) (*origin.History, error) {
	arrived := c.Clock.Now()
	h := &c.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if errors.Is(h.err, ErrNoHistory) || h.begun.After(arrived) {
		return h.last, h.err
	}
	if !h.begun.IsZero() && !wait.For(ctx, h.begun.Add(historyInterval).Sub(c.Clock.Now())) {
		return nil, fmt.Errorf("read the history: %w", ctx.Err())
	}
	h.begun = c.Clock.Now()
	entries, err := c.Store.History(readTimeout)
	switch {
	case errors.Is(err, plat.ErrCompacted):
		h.last, h.err = nil, fmt.Errorf("%w: %w", ErrNoHistory, err)
	case err != nil:
		h.last, h.err = nil, fmt.Errorf("read the history: %w", err)
	default:
		h.last, h.err = decodeHistory(entries, h.begun)
	}
	return h.last, h.err
}

// followHistory finds out when the store has discarded a part of its history, so that this is known
// while the store is away.
func (c *Control) followHistory(ctx context.Context) {
	for {
		if err := c.Store.CheckHistory(readTimeout); errors.Is(err, plat.ErrCompacted) {
			c.history.mu.Lock()
			c.history.last, c.history.err = nil, fmt.Errorf("%w: %w", ErrNoHistory, err)
			c.history.mu.Unlock()
			return
		}
		if !wait.For(ctx, historyCheckInterval+time.Duration(rand.Int64N(int64(historyCheckInterval/5)))) {
			return
		}
	}
}

// decodeHistory decodes all changes to the store. An entry that can't be decoded may be that of an
// endpoint at which streams began.
func decodeHistory(changes []plat.Entry, now time.Time) (*origin.History, error) {
	if !repl.IsComplete(changes) {
		return nil, fmt.Errorf("%w: the creation of an entry is missing", ErrNoHistory)
	}
	h := &origin.History{}
	for _, entry := range changes {
		_, isEndpoint := plat.EndpointID(entry.Key)
		switch {
		case entry.Removed:
		case isEndpoint:
			e, err := plat.DecodeEndpoint(entry, now)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNoHistory, err)
			}
			h.Endpoints = append(h.Endpoints, e)
		case plat.IsConfig(entry.Key):
			cfg, err := plat.DecodeConfig(entry)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNoHistory, err)
			}
			h.Configs = append(h.Configs, cfg)
		}
	}
	if len(h.Configs) == 0 { // no stream has begun before the first one
		return nil, fmt.Errorf("%w: it begins after the first configuration", ErrNoHistory)
	}
	return h, nil
}
