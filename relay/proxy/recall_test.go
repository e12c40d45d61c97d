package proxy

import (
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

// TestRecallOfSingleVersion guards against a relay that refuses the streams of a service whose
// version never changed, as it read the history late and only once.
func TestRecallOfSingleVersion(t *testing.T) {
	const kept = 20 * time.Second // by the store
	clk := clock.NewFake(time.Unix(1000, 0))
	b := &Balancer{Clock: clk, OnRecall: func(origin.History, error) {}}
	b.History = func(time.Time) (origin.History, error) {
		return origin.History{Since: clk.Now().Add(-kept), Added: origin.Additions{}}, nil
	}
	v := fleet.View{}.WithChange(fleet.Change{Put: []*fleet.Endpoint{{ID: "e", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady}}})
	b.Observe(&v)
	for _, up := range []time.Duration{12 * time.Second, 20 * time.Second, 30 * time.Second, 40 * time.Second, 47 * time.Second} {
		clk.Advance(up - clk.Now().Sub(time.Unix(1000, 0)))
		c := b.OriginVersion(origin.Stream{Service: "s", ID: "a", Since: clk.Now().Add(-5 * time.Second)})
		t.Logf("up %v: %+v", up, c)
		if !c.Known() {
			t.Errorf("up %v: unknown (%s) although one version was ever listed", up, c.Reason)
		}
	}
}
