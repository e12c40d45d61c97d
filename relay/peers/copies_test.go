package peers

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/relay/logs"
)

// originTest is a relay with links to others, whose messages the test reads.
type originTest struct {
	clk   *clock.Fake
	mesh  *Mesh
	links map[string]*session
}

// newOriginTest returns a relay that is linked to n others.
func newOriginTest(n int) *originTest {
	clk := clock.NewFake(time.UnixMilli(1_700_000_000_000))
	m := &Mesh{
		Group: &peer.Group{Self: peer.Member{Instance: "self", Incarnation: 1, Addr: "10.0.0.99:1", Zone: "z"}, Started: clk.Now()}, Clock: clk,
		Log: logs.New(io.Discard, clk, "self"), Seeds: func() []string { return nil },
	}
	m.init()
	t := &originTest{clk: clk, mesh: m, links: make(map[string]*session)}
	for i := range n {
		t.link(fmt.Sprint("r", i))
	}
	return t
}

// link establishes a link to another relay, or a new one.
func (t *originTest) link(id string) {
	p := peer.Member{Instance: id, Incarnation: 1, Addr: "10.0.0.1:" + id, Zone: "z"}
	s := t.mesh.newSession(nil, nil, nil, true)
	s.remote = p
	t.mesh.Group.MarkUp(t.clk.Now(), p, false)
	t.mesh.byID[id], t.mesh.sessions[s], t.links[id] = s, true, s
	t.mesh.forgetOwners()
}

// lose loses the link to a relay.
func (t *originTest) lose(id string) {
	t.mesh.Group.MarkDown(t.clk.Now(), id)
	delete(t.mesh.byID, id)
	delete(t.links, id)
	t.mesh.forgetOwners()
}

// records returns the relays that were sent records since the last call, and the last of
// these records to each.
func (t *originTest) records() map[string]*StreamOrigin {
	out := make(map[string]*StreamOrigin)
	for id, s := range t.links {
		for len(s.queue) > 0 {
			if o := (<-s.queue).GetOrigin(); o != nil {
				out[id] = o
			}
		}
	}
	return out
}

// acknowledge acknowledges records of other relays.
func (t *originTest) acknowledge(records map[string]*StreamOrigin) {
	for id, o := range records {
		t.links[id].handleStored(&OriginStored{Number: o.GetNumber()})
	}
}

// TestRecordsAreHandedOn guards against streams that nobody remembers once the relays that
// were told first are lost, and against a lost correction.
func TestRecordsAreHandedOn(t *testing.T) {
	ot := newOriginTest(20)
	ot.mesh.RecordOrigin("a", origin.Origin{Service: "s", Version: "v1"})
	first := ot.records()
	if len(first) != peer.KeepersPerStream {
		t.Fatalf("%d relays were told, want %d", len(first), peer.KeepersPerStream)
	}
	ot.acknowledge(first)
	ot.mesh.sendCopies(ot.clk.Now(), "a")
	if again := ot.records(); len(again) != 0 {
		t.Errorf("%d relays were told again", len(again))
	}
	for id := range first {
		ot.lose(id)
	}
	ot.mesh.copies.Reconsider(ot.clk.Now())
	ot.mesh.sendCopies(ot.clk.Now(), "a")
	if next := ot.records(); len(next) != peer.KeepersPerStream {
		t.Errorf("%d relays were told after the first ones were lost, want %d", len(next), peer.KeepersPerStream)
	}
	ot.mesh.RecordOrigin("a", origin.Origin{})
	for id, o := range ot.records() {
		if o.GetVersion() != "" {
			t.Errorf("%s was told %v, want the correction", id, o)
		}
	}
	ot.clk.Advance(150 * time.Millisecond)
	ot.mesh.sendCopies(ot.clk.Now(), "a")
	if again := ot.records(); len(again) < peer.KeepersPerStream {
		t.Errorf("%d relays were told again that didn't acknowledge the correction", len(again))
	}
}

// TestRecordIsAcknowledged guards against acknowledgements to relays that expect none, and
// against a record that is acknowledged before it is remembered.
func TestRecordIsAcknowledged(t *testing.T) {
	ot := newOriginTest(1)
	s := ot.links["r0"]
	s.recordOrigin(&StreamOrigin{Stream: "a", Version: "v1"})
	if len(s.queue) != 0 {
		t.Errorf("a relay of the former release got %v", <-s.queue)
	}
	s.recordOrigin(&StreamOrigin{Stream: "b", Version: "v1", Number: 7})
	select {
	case w := <-s.queue:
		if w.GetStored().GetNumber() != 7 {
			t.Errorf("sent %v, want the acknowledgement of record 7", w)
		}
	default:
		t.Error("record 7 isn't acknowledged")
	}
	if _, known, _ := ot.mesh.remembered(ot.clk.Now(), "b"); !known {
		t.Error("the record isn't remembered")
	}
}

// answer answers the requests that other relays got, as ones that have remembered streams
// for a minute.
func (t *originTest) answer(o *origin.Origin, ids ...string) {
	for _, id := range ids {
		s := t.links[id]
		for len(s.queue) > 0 {
			q := (<-s.queue).GetFindOrigin()
			if q == nil {
				continue
			}
			r := &OriginReply{Number: q.GetNumber(), SinceMs: time.Minute.Milliseconds()}
			if o != nil {
				r.Known, r.Service, r.Version = true, o.Service, o.Version
			}
			s.handleOriginReply(r)
		}
	}
}

// find seeks a stream, and lets answers arrive while it waits. Time passes with each look.
func (t *originTest) find(ctx context.Context, onWait func()) origin.Finding {
	done := make(chan origin.Finding, 1)
	go func() { done <- t.mesh.FindOrigin(ctx, "a", time.Second) }()
	for {
		select {
		case f := <-done:
			return f
		case <-time.After(time.Millisecond):
			t.clk.Advance(5 * time.Millisecond)
			onWait()
		}
	}
}

// TestLateAnswersOfKeepers guards against streams that are refused for good though their
// record exists: its keepers answer late, are linked late, or didn't answer at all.
func TestLateAnswersOfKeepers(t *testing.T) {
	known := &origin.Origin{Service: "s", Version: "v1"}
	ids := []string{"r0", "r1", "r2"}
	t.Run("late", func(t *testing.T) {
		ot := newOriginTest(3)
		begun := ot.clk.Now()
		f := ot.find(t.Context(), func() {
			if ot.clk.Now().Sub(begun) > 400*time.Millisecond {
				ot.answer(known, ids...)
			}
		})
		if f.Result != origin.Found || f.Origin != *known {
			t.Errorf("%+v, want the record", f)
		}
	})
	t.Run("none", func(t *testing.T) {
		ot := newOriginTest(3)
		if f := ot.find(t.Context(), func() { ot.answer(nil, ids[:2]...) }); f.Result != origin.Unanswered || f.Asked != 3 || f.Answered != 2 {
			t.Errorf("%+v, want no conclusion from two of three answers", f)
		}
	})
	t.Run("lost meanwhile", func(t *testing.T) {
		ot := newOriginTest(3)
		begun := ot.clk.Now()
		f := ot.find(t.Context(), func() {
			ot.answer(nil, ids[:2]...)
			if ot.links["r2"] != nil && ot.clk.Now().Sub(begun) > 200*time.Millisecond {
				ot.mesh.mu.Lock()
				ot.lose("r2")
				ot.mesh.mu.Unlock()
			}
		})
		if f.Result != origin.Unrecorded {
			t.Errorf("%+v, want that all that are left don't know the stream", f)
		}
	})
	t.Run("linked meanwhile", func(t *testing.T) {
		ot := newOriginTest(3)
		delete(ot.mesh.byID, "r2")
		begun := ot.clk.Now()
		f := ot.find(t.Context(), func() {
			ot.answer(nil, ids[:2]...)
			if ot.clk.Now().Sub(begun) > 200*time.Millisecond {
				ot.mesh.mu.Lock()
				ot.mesh.byID["r2"] = ot.links["r2"]
				ot.mesh.mu.Unlock()
				ot.answer(known, "r2")
			}
		})
		if f.Result != origin.Found {
			t.Errorf("%+v, want the record", f)
		}
	})
	t.Run("alone", func(t *testing.T) {
		ot := newOriginTest(0)
		if f := ot.find(t.Context(), func() {}); f.Result != origin.Unrecorded {
			t.Errorf("%+v, want that nobody can know the stream", f)
		}
	})
}
