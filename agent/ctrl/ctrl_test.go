package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/wire"
)

const incarnation = 42

func document(revision int, zone string) []byte {
	return fmt.Appendf(nil, `
revision: %d
zones: [{name: z, state: %s}]
teams: [{name: t, weight: 1}]
classes: [{name: c, priority: 0}]
pipelines:
  - {name: p, deadline: 1s, stages: [{name: s, kind: encoding, idempotent: true, selectors: [{match: {a: b}}]}]}
`, revision, zone)
}

// withControl runs f with a control state that has revision 1 in force, a
// confirmed view, and an endpoint whose load is known.
func withControl(t *testing.T, f func(c *ctrl.Control, clk *clock.Fake)) {
	t.Helper()
	clk := clock.NewFake(time.Unix(1000, 0))
	c := ctrl.New(ctrl.Config{
		Instance:    "i",
		Zone:        "z",
		Incarnation: incarnation,
		Key:         []byte("key"),
		Gate:        gate.Settings{WarmLimit: 8},
		Clock:       clk,
		Begin:       func(*ctrl.Job) {},
		Jitter:      func() float64 { return 0.5 },
	})
	defer c.Close()
	c.Meet(&wire.Hello{Entry: 1})
	if v, err := c.Offer(document(1, "serving")); v != "accepted" {
		t.Fatalf("document: %s, %v", v, err)
	}
	first := c.Ping(ping(1, 0))
	c.Ping(ping(1, first.GetNumber()))
	c.ObserveLoad(0, true, clk.Now())
	f(c, clk)
}

func ping(revision, echo uint64) *wire.Ping {
	return &wire.Ping{Revision: revision, Fresh: true, Echo: echo, Listed: true, Labels: map[string]string{"a": "b"}}
}

func dispatch(seq uint64) *wire.Dispatch {
	return &wire.Dispatch{
		Id:          &wire.AttemptID{Entry: 1, Seq: seq},
		Incarnation: incarnation,
		Pipeline:    "p",
		Stage:       "s",
		Team:        "t",
		BudgetUs:    1e6,
	}
}

func expectRefused(t *testing.T, a ctrl.Answer, reason string) {
	t.Helper()
	if got := a.End.GetRefused().GetReason(); got != reason {
		t.Fatalf("refused for %q, expected %q (job: %v)", got, reason, a.Job != nil)
	}
}

func TestPausedAgentTakesNoWork(t *testing.T) {
	withControl(t, func(c *ctrl.Control, clk *clock.Fake) {
		old := c.Ping(ping(1, 1)).GetNumber()
		clk.Advance(10 * time.Second)
		// The dispatch waited in the socket through the pause.
		expectRefused(t, c.Dispatch(dispatch(1)), "view_not_confirmed")
		// So did a ping from before it, which confirms nothing.
		late := c.Ping(ping(1, old))
		expectRefused(t, c.Dispatch(dispatch(2)), "view_not_confirmed")
		// The zone was drained in the meantime; the entry that answers knows.
		c.Ping(ping(2, late.GetNumber()))
		expectRefused(t, c.Dispatch(dispatch(3)), "view_not_confirmed")
		if v, err := c.Offer(document(2, "drained")); v != "accepted" {
			t.Fatalf("document: %s, %v", v, err)
		}
		c.Ping(ping(2, late.GetNumber()))
		expectRefused(t, c.Dispatch(dispatch(4)), "zone_drained")
	})
}

func TestWorkGoesOnAfterAConfirmedView(t *testing.T) {
	withControl(t, func(c *ctrl.Control, clk *clock.Fake) {
		clk.Advance(10 * time.Second)
		p := c.Ping(ping(1, 0))
		c.Ping(ping(1, p.GetNumber()))
		c.ObserveLoad(0, true, clk.Now())
		if a := c.Dispatch(dispatch(1)); a.Job == nil {
			t.Fatalf("refused: %v", a.End)
		}
	})
}

func TestOtherIncarnationIsRefused(t *testing.T) {
	withControl(t, func(c *ctrl.Control, _ *clock.Fake) {
		d := dispatch(1)
		d.Incarnation = incarnation + 1
		expectRefused(t, c.Dispatch(d), wire.ReasonIncarnation)
		if st := c.Void(&wire.Void{Id: d.GetId(), Incarnation: d.GetIncarnation()}); st != "gone" {
			t.Fatalf("void for another incarnation: %s, expected gone", st)
		}
	})
}

func TestVoidedWhileQueued(t *testing.T) {
	withControl(t, func(c *ctrl.Control, _ *clock.Fake) {
		if a := c.Dispatch(dispatch(1)); a.Job == nil {
			t.Fatal("first dispatch refused")
		}
		queued := c.Dispatch(dispatch(2))
		if queued.Job == nil || !queued.Job.Started.IsZero() {
			t.Fatal("second dispatch isn't queued")
		}
		if st := c.Void(&wire.Void{Id: dispatch(2).GetId(), Incarnation: incarnation}); st != "voided" {
			t.Fatalf("void: %s, expected voided", st)
		}
		expectRefused(t, c.Dispatch(dispatch(2)), wire.ReasonVoided)
	})
}
