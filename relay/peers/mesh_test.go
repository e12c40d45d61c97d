package peers

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/repl"
	"wigeonplank.example/core/wire"
)

// TestOwnerWithoutLink checks which relay schedules a pool while the link to its
// owner is not up. It guards against relays that each schedule a pool on their own
// whenever its owner stops or is replaced: their calls to endpoints would carry few
// items each.
func TestOwnerWithoutLink(t *testing.T) {
	owner, second, former := &session{}, &session{}, &session{}
	m := &Mesh{
		Group:    &peer.Group{Self: peer.Member{Instance: "self"}},
		byID:     map[string]*session{"owner": owner, "second": second},
		sessions: map[*session]bool{owner: true, second: true, former: true},
	}
	candidates := []peer.Member{{Instance: "owner"}, {Instance: "second"}}
	check := func(when string, candidates []peer.Member, last, want *session) {
		t.Helper()
		if got := m.linkedOwner(candidates, last); got != want {
			t.Errorf("%s: got %p, want %p (owner %p, second %p, former %p)", when, got, want, owner, second, former)
		}
	}
	check("all linked", candidates, former, owner)
	delete(m.byID, "owner")
	check("no link to the owner", candidates, former, second)
	delete(m.byID, "second")
	check("no link to either", candidates, former, former)
	delete(m.sessions, former)
	check("no link at all", candidates, former, nil)
	m.byID["second"] = second
	check("this relay is the owner", []peer.Member{{Instance: "self"}, {Instance: "second"}}, former, nil)
	check("this relay takes over", []peer.Member{{Instance: "owner"}, {Instance: "self"}}, former, nil)
}

// TestPoolReport guards against reports of a pool that are lost on a link or used for too
// long, and against a relay that can't read those of an older one.
func TestPoolReport(t *testing.T) {
	clk := clock.NewFake(time.UnixMilli(1_700_000_000_000))
	s := &session{mesh: &Mesh{Clock: clk}}
	p := batch.Pool{Service: "encode", Zone: "z1"}
	want := batch.Report{Items: 7, Delay: 300 * time.Millisecond, DelayAge: 400 * time.Millisecond, OverShare: []string{"a"}}
	s.recordLoad(reportToWire(p, want))
	if r := s.report(p); !reflect.DeepEqual(r, want) {
		t.Errorf("report %+v, want %+v", r, want)
	}
	clk.Advance(600 * time.Millisecond)
	if r := s.report(p); r.Items != 7 || r.Delay != 0 || len(r.OverShare) != 1 {
		t.Errorf("report %+v, want no delay, as it was measured a second ago", r)
	}
	clk.Advance(400 * time.Millisecond)
	if r := s.report(p); r.OverShare != nil {
		t.Errorf("report %+v, want no teams a second later", r)
	}
	s.recordLoad(&PoolLoad{Service: p.Service, Zone: p.Zone, Items: 3})
	if r := s.report(p); !reflect.DeepEqual(r, batch.Report{Items: 3}) {
		t.Errorf("report %+v of an older relay, want 3 items alone", r)
	}
	now := clk.Now()
	it := &batch.Item{Request: "r", EnqueuedAt: now, Due: now.Add(time.Second), StartBy: now, Deadline: now, Team: "a"}
	if got := itemFromWire(itemToWire(it, now), now); !reflect.DeepEqual(got, it) {
		t.Errorf("item %+v, want %+v", got, it)
	}
}

// TestLargeSubmissions guards against submitted items that are larger together than a
// message may be, which would end the link.
func TestLargeSubmissions(t *testing.T) {
	inputs := make([]string, 512)
	for i := range inputs {
		inputs[i] = strings.Repeat("x", 40)
	}
	s := &session{
		mesh: &Mesh{Clock: clock.NewFake(time.UnixMilli(1_700_000_000_000))}, queue: make(chan *Work, maxQueuedMessages),
		pending: make(map[itemKey]*batch.Item), done: make(chan struct{}),
	}
	items := make([]*batch.Item, 512)
	for i := range items {
		items[i] = &batch.Item{Request: "r", Index: i, Inputs: inputs}
	}
	if !s.submit(batch.Pool{Service: "p"}, items) || len(s.pending) != len(items) {
		t.Fatalf("%d of %d items are pending", len(s.pending), len(items))
	}
	sent := 0
	for len(s.queue) > 0 {
		w := <-s.queue
		sent += len(w.GetSubmit().GetItems())
		if n := proto.Size(w); n > wire.MaxMessageBytes {
			t.Errorf("a message has %d bytes", n)
		}
	}
	if sent != len(items) {
		t.Errorf("%d of %d items were sent", sent, len(items))
	}
	items[0].Inputs = []string{strings.Repeat("x", wire.MaxMessageBytes)}
	if s.submit(batch.Pool{Service: "p"}, items[:1]) {
		t.Error("an item that no message can hold was submitted")
	}
}

// TestPositionOnWire guards against a position that is lost or changed between relays, and
// against one of an older relay that tells more than it knows.
func TestPositionOnWire(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	want := repl.Position{
		Point:     repl.Point{Era: 2, Revision: 7},
		Contact:   repl.Contact{At: now.Add(-time.Second), Origin: "a", Since: now},
		OutageEnd: now.Add(-time.Minute),
	}
	got := positionFromWire(positionToWire(want, now), now)
	if got.Contact.Since = got.Contact.Since.Round(10 * time.Millisecond); got != want {
		t.Errorf("position %+v, want %+v", got, want)
	}
	if got := positionFromWire(&StorePosition{Origin: "a", ContactMs: 5}, now); !got.Contact.Since.IsZero() {
		t.Errorf("position %+v of an older relay, want no first read", got)
	}
}
