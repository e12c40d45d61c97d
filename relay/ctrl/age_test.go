package ctrl

import (
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/repl"
)

// TestAgeOfUnpublishedView guards against a view that counts as fresh although the changes
// that a contact has brought aren't in it yet.
func TestAgeOfUnpublishedView(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("e"))
	f.clock.Advance(2 * time.Second)
	seen := false
	f.OnViewChange = func(*fleet.View) {
		seen = true
		if age := f.ViewAge(); age != 2*time.Second {
			t.Errorf("age %v while the changes are applied, want 2s", age)
		}
	}
	f.read(false, f.entry("other"))
	if age := f.ViewAge(); !seen || age != 0 {
		t.Errorf("age %v once the view is published", age)
	}
}

// TestUnread guards against a relay that takes its own failure to read the store, or
// changes that it lacks, for an outage that all relays see.
func TestUnread(t *testing.T) {
	const late = origin.MaxViewLag + time.Millisecond
	f := newFixture()
	f.read(false, f.entry("e"))
	check := func(when string, want bool) {
		t.Helper()
		if got := f.Unread(); got != want {
			t.Errorf("%s: %v, want %v", when, got, want)
		}
	}
	pass := func(d time.Duration) {
		for ; d > 0; d -= maxTickGap {
			f.clock.Advance(min(d, maxTickGap))
			f.Tick()
		}
	}
	check("just read", false)
	pass(late)
	check("nobody reads", true)
	p := repl.Position{Point: f.Position().Point, Contact: repl.Contact{At: f.clock.Now(), Origin: "b"}}
	p.Revision++
	f.Announced(p) // which brings no changes yet
	check("another relay reads changes", false)
	if age := f.ViewAge(); age != late {
		t.Errorf("age %v although changes are missing, want %v", age, late)
	}
	pass(late)
	check("nobody reads any more", true)
}

// TestUnreadAfterStandstill guards against a relay that stood still and takes its own
// standstill, in which it heard nobody, for an outage of the store that all relays see.
func TestUnreadAfterStandstill(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("e"))
	for range 10 {
		f.clock.Advance(maxTickGap / 2)
		f.Tick()
		f.Announced(repl.Position{Point: f.Position().Point, Contact: repl.Contact{At: f.clock.Now(), Origin: "b"}})
	}
	if f.Unread() {
		t.Fatal("unread although another relay reads")
	}
	f.clock.Advance(10 * time.Second)
	if f.Unread() {
		t.Error("nobody reads, says a relay that has just woken")
	}
	f.Tick()
	p := repl.Position{Point: f.Position().Point, Contact: repl.Contact{At: f.clock.Now(), Origin: "b"}}
	p.Revision++
	f.Announced(p) // read right after the standstill
	if f.Unread() {
		t.Error("nobody reads, says a relay that has heard of a contact right after it woke")
	}
}
