package deploy_test

import (
	"testing"
	"time"

	base "wigeonplank.example/base/sets"
	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/relay/sets"
)

// TestPlannedStop checks which attempts count as cut off by a planned stop.
func TestPlannedStop(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	const stopped, other = "127.0.0.1:1", "127.0.0.1:2"
	stop := deploy.PlannedStop{
		Relay:    &deploy.Relay{Name: "r", Settings: sets.Settings{HTTP: base.Listen{Listen: stopped}}},
		SignalAt: at(10), EndAt: at(20),
	}
	for _, c := range []struct {
		name    string
		attempt deploy.Attempt
		want    bool
	}{
		{"broken off in the stop", deploy.Attempt{End: deploy.EndBrokenOff, Addr: stopped, SentAt: at(9), EndedAt: at(11)}, true},
		{"no response in the stop", deploy.Attempt{End: deploy.EndNoResponse, Addr: stopped, SentAt: at(12), EndedAt: at(13)}, true},
		{"not accepted", deploy.Attempt{End: deploy.EndNotAccepted, SentAt: at(12), EndedAt: at(13)}, false},
		{"another relay", deploy.Attempt{End: deploy.EndBrokenOff, Addr: other, SentAt: at(9), EndedAt: at(11)}, false},
		{"before the stop", deploy.Attempt{End: deploy.EndBrokenOff, Addr: stopped, SentAt: at(8), EndedAt: at(9)}, false},
		{"complete", deploy.Attempt{End: deploy.EndComplete, Addr: stopped, SentAt: at(9), EndedAt: at(11)}, false},
		{"after the stop", deploy.Attempt{End: deploy.EndBrokenOff, Addr: stopped, SentAt: at(21), EndedAt: at(22)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := stop.Cuts(c.attempt); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
