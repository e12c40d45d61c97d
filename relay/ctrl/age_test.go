package ctrl

import (
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
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

// TestListedOfUnpublishedView guards against an incarnation that counts as listed by a view
// from before it was: the contact that shows it came with changes that aren't in the view
// yet.
func TestListedOfUnpublishedView(t *testing.T) {
	f := newFixture()
	run := func(d time.Duration) {
		for range d / (maxTickGap / 2) {
			f.clock.Advance(maxTickGap / 2)
			f.Tick()
		}
	}
	f.read(false, f.entry("e"))
	run(10 * time.Second)
	was, seen := f.ListedUntil(), false
	f.OnViewChange = func(*fleet.View) {
		seen = true
		f.Tick()
		if until := f.ListedUntil(); until.After(was) {
			t.Errorf("listed until %v later while the changes are applied", until.Sub(was))
		}
	}
	f.read(false, f.entry("other"))
	f.Tick()
	if until := f.ListedUntil(); !seen || !until.After(was) {
		t.Error("not listed any longer once the view is published")
	}
}
