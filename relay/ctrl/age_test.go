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
