package proxy

import (
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	plat "wigeonplank.example/platform"
)

// TestEarliestBegin guards against streams that are refused as unrecorded because they count as
// younger than they are: processes that remember streams since after they began count as ones
// that would know them.
func TestEarliestBegin(t *testing.T) {
	readAt := time.Unix(1000, 0)
	clk := clock.NewFake(readAt)
	for name, c := range map[string]struct {
		others, left time.Duration // waits that callers have named
		want         time.Duration // before the request was read
	}{
		"by the route's timeout":       {0, 6 * time.Second, 2 * time.Second},
		"by the longest wait":          {10 * time.Second, 6 * time.Second, 4 * time.Second},
		"by the caller's own":          {0, 9 * time.Second, 0},
		"its caller has named no wait": {0, 0, defaultTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			route := &fleet.Route{Name: "r", Timeout: 8 * time.Second, Resumable: true}
			f := &Forwarder{Clock: clk}
			if c.others > 0 {
				f.recordWait(route, c.others)
			}
			req := &request{Forwarder: f, route: route, startedAt: readAt, headers: plat.Request{Deadline: c.left}}
			req.setDeadline()
			clk.Advance(2 * time.Second)
			if got := readAt.Sub(req.earliestBegin()); got != c.want {
				t.Errorf("the stream began %v before at the earliest, want %v", got, c.want)
			}
		})
	}
}
