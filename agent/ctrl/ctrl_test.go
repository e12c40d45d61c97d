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

// withControl calls f with a Control whose active configuration has revision 1,
// whose view is confirmed and whose endpoint has reported its load.
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
		StartJob:    func(*ctrl.Job) {},
		Jitter:      func() float64 { return 0.5 },
	})
	defer c.Close()
	c.EntryConnected(&wire.Hello{Entry: 1})
	if v, err := c.OfferDocument(document(1, "serving")); v != "accepted" {
		t.Fatalf("got verdict %q on the document, want accepted: %v", v, err)
	}
	first := c.HandlePing(ping(1, 0))
	c.HandlePing(ping(1, first.GetNumber()))
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

func expectRefused(t *testing.T, r ctrl.DispatchReply, reason string) {
	t.Helper()
	if got := r.Final.GetRefused().GetReason(); got != reason {
		t.Fatalf("got refusal reason %q, want %q (admitted: %v)", got, reason, r.Job != nil)
	}
}

// TestPausedAgentTakesNoWork guards against an agent that, after a pause of its
// process, admits work by the view from before the pause, for example in a zone
// that was drained in the meantime.
func TestPausedAgentTakesNoWork(t *testing.T) {
	withControl(t, func(c *ctrl.Control, clk *clock.Fake) {
		old := c.HandlePing(ping(1, 1)).GetNumber()
		clk.Advance(10 * time.Second)
		// This dispatch waited in the socket during the pause.
		expectRefused(t, c.Dispatch(dispatch(1)), "view_not_confirmed")
		// So did this ping: it echoes a pong from before the pause, so it
		// doesn't confirm the view.
		late := c.HandlePing(ping(1, old))
		expectRefused(t, c.Dispatch(dispatch(2)), "view_not_confirmed")
		// The zone was drained during the pause, in revision 2. The entry has
		// it already, so its ping doesn't confirm the view of an agent that
		// still has revision 1.
		c.HandlePing(ping(2, late.GetNumber()))
		expectRefused(t, c.Dispatch(dispatch(3)), "view_not_confirmed")
		if v, err := c.OfferDocument(document(2, "drained")); v != "accepted" {
			t.Fatalf("got verdict %q on the document, want accepted: %v", v, err)
		}
		c.HandlePing(ping(2, late.GetNumber()))
		expectRefused(t, c.Dispatch(dispatch(4)), "zone_drained")
	})
}

func TestWorkAdmittedAfterViewConfirmedAgain(t *testing.T) {
	withControl(t, func(c *ctrl.Control, clk *clock.Fake) {
		clk.Advance(10 * time.Second)
		p := c.HandlePing(ping(1, 0))
		c.HandlePing(ping(1, p.GetNumber()))
		c.ObserveLoad(0, true, clk.Now())
		if r := c.Dispatch(dispatch(1)); r.Job == nil {
			t.Fatalf("dispatch refused after the view was confirmed: %v", r.Final)
		}
	})
}

func TestOtherIncarnationIsRefused(t *testing.T) {
	withControl(t, func(c *ctrl.Control, _ *clock.Fake) {
		d := dispatch(1)
		d.Incarnation = incarnation + 1
		expectRefused(t, c.Dispatch(d), wire.ReasonIncarnation)
		if st := c.Void(&wire.Void{Id: d.GetId(), Incarnation: d.GetIncarnation()}); st != "gone" {
			t.Fatalf("got state %q from a void for another incarnation, want gone", st)
		}
	})
}

func TestVoidedWhileQueued(t *testing.T) {
	withControl(t, func(c *ctrl.Control, _ *clock.Fake) {
		if r := c.Dispatch(dispatch(1)); r.Job == nil {
			t.Fatal("first dispatch refused")
		}
		queued := c.Dispatch(dispatch(2))
		if queued.Job == nil || !queued.Job.Started.IsZero() {
			t.Fatal("second dispatch isn't queued")
		}
		if st := c.Void(&wire.Void{Id: dispatch(2).GetId(), Incarnation: incarnation}); st != "voided" {
			t.Fatalf("got state %q from the void, want voided", st)
		}
		expectRefused(t, c.Dispatch(dispatch(2)), wire.ReasonVoided)
	})
}
