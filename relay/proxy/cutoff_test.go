package proxy

import (
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	plat "wigeonplank.example/platform"
)

// TestCutOffRelayRefusesStreams guards against streams that wait at a relay which is cut off
// while others could serve them, and against refusals in an outage of the store, in which no
// other relay could do better.
func TestCutOffRelayRefusesStreams(t *testing.T) {
	for name, c := range map[string]struct {
		age       time.Duration
		reaches   bool
		resumable bool
		last      int64
		want      bool
	}{
		"cut off":                   {5 * time.Second, false, true, -1, true},
		"reads the store":           {time.Second, false, true, -1, false},
		"outage of the store":       {time.Minute, true, true, -1, false},
		"can't be taken up":         {5 * time.Second, false, false, -1, false},
		"is taken up, is in record": {5 * time.Second, false, true, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			req := newPanicking(t, &fleet.Service{Name: "s"}, &fleet.Endpoint{ID: "e", Service: "s", State: fleet.StateReady})
			req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: c.resumable}
			req.headers = plat.Request{ID: "a", LastEventID: c.last}
			req.ViewAge, req.ReachesHalf = func() time.Duration { return c.age }, func() bool { return c.reaches }
			if got := req.isCutOff(); got != c.want {
				t.Errorf("cut off: %v, want %v", got, c.want)
			}
		})
	}
}
