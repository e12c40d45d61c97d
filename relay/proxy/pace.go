package proxy

import (
	"context"
	"time"

	"wigeonplank.example/base/wait"
)

const (
	maxEventsPerSecond = 2000                  // of one stream for long; engines make a hundred tokens or so
	eventBurst         = 2 * time.Second       // for which a stream may have been faster
	pacePause          = 10 * time.Millisecond // in which a faster endpoint waits for the relay
	eventTime          = time.Second / maxEventsPerSecond
)

// pacer bounds the rate at which the events of one stream are forwarded, so that an endpoint
// that sends them without end doesn't use up this relay's processor until the deadline. The zero
// value is ready to use.
type pacer struct {
	due time.Time // when the events that were forwarded are due at the highest rate
}

// wait records that an event was forwarded at now, and blocks for a moment if the stream
// is too fast.
func (p *pacer) wait(ctx context.Context, now time.Time) {
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(eventTime)
	if p.due.Sub(now) > eventBurst {
		wait.For(ctx, pacePause)
	}
}
