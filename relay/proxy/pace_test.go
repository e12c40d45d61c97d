package proxy

import (
	"context"
	"testing"
	"time"
)

// TestPacer guards against an endpoint whose events use up the relay's processor, and against
// streams that are slowed although their endpoint makes events at a rate that engines reach.
func TestPacer(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel() // pauses return at once
	start := time.Unix(1000, 0)
	paused := func(events int, every time.Duration) int {
		var p pacer
		n := 0
		now := start
		for range events {
			p.wait(gone, now)
			if p.due.Sub(now) > eventBurst {
				n++
				now = now.Add(pacePause)
			}
			now = now.Add(every)
		}
		return n
	}
	if n := paused(100_000, time.Millisecond); n != 0 {
		t.Errorf("a stream of 1000 events a second was paused %d times", n)
	}
	if n := paused(4000, 0); n != 0 {
		t.Errorf("4000 events at once were paused %d times", n)
	}
	const endless = 100_000
	atLeast := int((endless*eventTime-eventBurst)/pacePause) * 9 / 10
	if n := paused(endless, 0); n < atLeast {
		t.Errorf("a stream without end was paused %d times, want at least %d", n, atLeast)
	}
}
