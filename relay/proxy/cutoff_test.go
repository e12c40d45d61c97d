package proxy

import (
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	plat "wigeonplank.example/platform"
)

// TestCutOffRelayRefusesStreams guards against streams that wait at a relay which is cut off
// while others could serve them or nobody would know where they began, and against refusals in an outage of the store, in which no
// other relay could do better.
func TestCutOffRelayRefusesStreams(t *testing.T) {
	for name, c := range map[string]struct {
		age       time.Duration
		reaches   bool
		alone     bool
		resumable bool
		last      int64
		want      string
	}{
		"cut off":                        {5 * time.Second, false, false, true, -1, reasonCutOff},
		"reads the store":                {time.Second, false, false, true, -1, ""},
		"outage of the store":            {time.Minute, true, false, true, -1, ""},
		"can't be taken up":              {5 * time.Second, false, false, false, -1, ""},
		"is taken up, is in record":      {5 * time.Second, false, false, true, 3, ""},
		"reads the store, nobody else":   {time.Second, true, true, true, -1, reasonAlone},
		"nobody else, can't be taken up": {time.Second, true, true, false, -1, ""},
		"nobody else, is taken up":       {time.Second, true, true, true, 3, ""},
	} {
		t.Run(name, func(t *testing.T) {
			req := newPanicking(t, &fleet.Service{Name: "s"}, &fleet.Endpoint{ID: "e", Service: "s", State: fleet.StateReady})
			req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: c.resumable}
			req.headers = plat.Request{ID: "a", LastEventID: c.last}
			req.ViewAge, req.ReachesHalf = func() time.Duration { return c.age }, func() bool { return c.reaches }
			req.IsAlone = func() bool { return c.alone }
			if got := req.cutOffReason(); got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
		})
	}
}
