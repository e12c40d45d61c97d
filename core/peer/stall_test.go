package peer

import (
	"testing"
	"time"
)

// TestMembersOutlastStandstill guards against relays that are dropped, so that this one takes their
// shares of limits, because it stood still for longer than a silent member is kept.
func TestMembersOutlastStandstill(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &Group{Self: Member{Instance: "a"}, Started: now}
	g.Observe(now, Member{Instance: "b", Incarnation: 1, Beat: 1}, "b")
	for range 5 {
		now = now.Add(time.Second)
		g.Tick(now)
		g.Expire(now)
	}
	now = now.Add(3 * memberTimeout) // this process stands still
	g.Tick(now)
	if gone := g.Expire(now); len(gone) > 0 || g.Size(now) != 2 {
		t.Errorf("after a standstill: %v expired, %d relays count", gone, g.Size(now))
	}
	for ran := time.Duration(0); ran < memberTimeout; ran += time.Second {
		now = now.Add(time.Second)
		g.Tick(now)
		g.Expire(now)
	}
	if n := g.Size(now); n != 1 {
		t.Errorf("%d relays count after one was silent for %v in which this process ran", n, memberTimeout)
	}
}
