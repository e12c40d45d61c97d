package peer_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/peer"
)

// TestReachesHalf guards against a relay of a cut zone or machine that takes an outage of
// the store for one that all relays see, and against relays that refuse streams in such an
// outage.
func TestReachesHalf(t *testing.T) {
	const zones = 3
	tests := map[string]struct {
		size    int                    // relays
		lost    func(zone, n int) bool // links to these fail
		leaving func(n int) bool
		want    bool
	}{
		"alone":                {size: 1, want: true},
		"none lost":            {size: 146, want: true},
		"own machine is cut":   {size: 146, lost: func(int, int) bool { return true }},
		"own zone is cut":      {size: 146, lost: func(zone, _ int) bool { return zone != 0 }},
		"another zone is cut":  {size: 146, lost: func(zone, _ int) bool { return zone == 1 }, want: true},
		"a third is killed":    {size: 146, lost: func(_, n int) bool { return n%3 == 1 }, want: true},
		"small":                {size: 4, want: true},
		"small, one lost":      {size: 4, lost: func(_, n int) bool { return n == 1 }, want: true},
		"small, two lost":      {size: 4, lost: func(_, n int) bool { return n < 3 }},
		"small, all lost":      {size: 4, lost: func(int, int) bool { return true }},
		"two, one lost":        {size: 2, lost: func(int, int) bool { return true }},
		"two, one leaves":      {size: 2, lost: func(int, int) bool { return true }, leaving: func(int) bool { return true }, want: true},
		"small, two have left": {size: 4, lost: func(_, n int) bool { return n < 3 }, leaving: func(n int) bool { return n < 3 }, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			g := &peer.Group{Self: peer.Member{Instance: "r0", Addr: "r0", Zone: "z0"}, Started: now}
			member := func(n int) peer.Member {
				id := fmt.Sprint("r", n)
				return peer.Member{Instance: id, Addr: id, Zone: fmt.Sprint("z", n%zones), Incarnation: 1, Beat: 1}
			}
			lost := func(n int) bool { return tt.lost != nil && tt.lost(n%zones, n) }
			for n := 1; n < tt.size; n++ {
				g.Observe(now, member(n), "r1")
			}
			link := func() {
				for _, m := range append(g.Neighbors(now), g.Followed(now)...) {
					var n int
					_, _ = fmt.Sscanf(m.Instance, "r%d", &n)
					switch {
					case n == 0:
					case lost(n):
						g.MarkUp(now, m, tt.leaving != nil && tt.leaving(n))
						g.MarkDown(now, m.Instance)
					default:
						g.MarkUp(now, m, false)
					}
				}
			}
			check := func(when string) {
				t.Helper()
				if got := g.ReachesHalf(); got != tt.want {
					t.Errorf("%s: %v, want %v", when, got, tt.want)
				}
			}
			link()
			check("at first")
			for range 6 { // others are tried in place of those that are suspect
				link()
			}
			check("then")
			for range 120 { // seconds
				now = now.Add(time.Second)
				for n := 1; n < tt.size; n++ {
					if !lost(n) {
						g.MarkUp(now, member(n), false)
					}
				}
				g.Tick(now)
				g.Expire(now)
			}
			check("after two minutes")
		})
	}
}

// TestReachesReplacement guards against a relay that counts as lost although another one
// has its place.
func TestReachesReplacement(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := &peer.Group{Self: peer.Member{Instance: "a", Addr: "a"}, Started: now}
	former := peer.Member{Instance: "b", Addr: "b", Incarnation: 1, Beat: 1}
	g.MarkUp(now, former, false)
	g.MarkDown(now, "b")
	if g.ReachesHalf() {
		t.Error("reaches half although the only other relay is lost")
	}
	g.MarkUp(now, peer.Member{Instance: "c", Addr: "b", Incarnation: 1, Beat: 1}, false)
	if !g.ReachesHalf() {
		t.Error("doesn't reach half although another relay has replaced the lost one")
	}
}

// TestReachesHalfAfterRestart guards against a relay that starts again in a zone that is cut
// off, and takes what it can't reach for an outage of the store that all relays see: of the
// other zones it has heard, but it has no link there yet.
func TestReachesHalfAfterRestart(t *testing.T) {
	const zones, size = 3, 12
	now := time.Unix(1_000_000, 0)
	g := &peer.Group{Self: peer.Member{Instance: "r0", Addr: "r0", Zone: "z0"}, Started: now}
	for n := 1; n < size; n++ {
		id := fmt.Sprint("r", n)
		m := peer.Member{Instance: id, Addr: id, Zone: fmt.Sprint("z", n%zones), Incarnation: 1, Beat: 1}
		if g.Observe(now, m, "r3"); n%zones == 0 {
			g.MarkUp(now, m, false)
		}
	}
	if g.ReachesHalf() {
		t.Error("reaches half with links to 3 of 11 others")
	}
}
