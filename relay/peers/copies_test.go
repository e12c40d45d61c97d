package peers

import (
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
	if w := <-s.queue; w.GetStored().GetNumber() != 7 {
		t.Errorf("sent %v, want the acknowledgement of record 7", w)
	}
	if _, ok := ot.mesh.origin(ot.clk.Now(), "b"); !ok {
		t.Error("the record isn't remembered")
	}
}
