package ctrl_test

import (
	"testing"
	"time"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/wire"
)

// TestStandstillIsNoStalledWork guards against an endpoint that counts as cold, so that its queued work
// is refused, because the agent stood still while the endpoint's output arrived.
func TestStandstillIsNoStalledWork(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	lowered := make(chan gate.LowerReason, 8)
	c := ctrl.New(ctrl.Config{
		Instance: "i", Zone: "z", Incarnation: incarnation, Key: []byte("key"), Gate: gate.Settings{WarmLimit: 8}, Clock: clk,
		StartJob: func(*ctrl.Job) {}, Jitter: func() float64 { return 0.5 },
		OnLimitLowered: func(reason gate.LowerReason, _, _ int) { lowered <- reason },
	})
	defer c.Close()
	c.EntryConnected(&wire.Hello{Entry: 1})
	if v, err := c.OfferDocument(document(1, "serving")); v != "accepted" {
		t.Fatalf("got verdict %q on the document, want accepted: %v", v, err)
	}
	first := c.HandlePing(ping(1, 0))
	c.HandlePing(ping(1, first.GetNumber()))
	c.ObserveLoad(0, false, clk.Now())
	job := func(seq uint64) *ctrl.Job {
		r := c.Dispatch(dispatch(seq))
		if r.Job == nil {
			t.Fatalf("dispatch %d was refused: %v", seq, r.Final)
		}
		return r.Job
	}
	for seq := range uint64(3) { // the limit grows while it is used up
		j := job(seq + 1)
		clk.Advance(10 * time.Millisecond)
		c.RecordProgress(j, 1)
		c.Finish(j, ctrl.JobOutcome{Units: 1})
	}
	j := job(10)
	clk.Advance(700 * time.Millisecond) // the agent stands still; the first output waits in a socket
	time.Sleep(150 * time.Millisecond)  // for ticks
	c.RecordProgress(j, 1)
	select {
	case reason := <-lowered:
		t.Errorf("the limit was lowered: %v", reason)
	default:
	}
	next := job(11)
	for range 20 { // the endpoint itself doesn't go on
		clk.Advance(50 * time.Millisecond)
		time.Sleep(55 * time.Millisecond)
	}
	if c.RecordProgress(next, 1); len(lowered) == 0 {
		t.Error("an endpoint that has stalled doesn't count as cold")
	}
}
