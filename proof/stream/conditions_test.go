package stream

import (
	"testing"
	"time"
)

// TestShares guards against runs that claim to have tried what none of their streams met.
func TestShares(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	s := newShares([]played{{ConditionKeepersLost, at(1), at(3)}, {ConditionKeepersLost, at(2), at(5)}, {ConditionReloaded, at(8), at(9)}})
	s.add(&Stream{Retries: 1, Tries: []Try{{}, {FirstAt: at(2)}, {FirstAt: at(8)}}}, true, true)
	s.add(&Stream{Retries: 3, Tries: []Try{{FirstAt: at(4)}}}, true, false)
	s.add(&Stream{Retries: 3, Tries: []Try{{FirstAt: at(8)}}}, false, false)
	s.add(&Stream{Retries: 3, Tries: []Try{{}}}, false, false)
	want := map[Condition]Share{
		ConditionKeepersLost: {Played: 2, TakenUp: 2, WentOn: 1}, ConditionReloaded: {Played: 1}, ConditionOneRetry: {Played: 1, TakenUp: 1, WentOn: 1},
	}
	for _, got := range s.list() {
		w := want[got.Condition]
		if w.Condition = got.Condition; got != w {
			t.Errorf("got %v, want %v", got, w)
		}
	}
}
