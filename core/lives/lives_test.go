package lives

import (
	"testing"
	"time"
)

// Guards against an incarnation that counts as alive after it has ended, at this process or
// at another one, and against one that is doubted for good after a mistaken sign.
func TestDoubts(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	in, next, weak := Incarnation{ID: "a", StartUnixMs: 1}, Incarnation{ID: "a", StartUnixMs: 2}, Incarnation{ID: "b", StartUnixMs: 1}
	var own, other Table
	if isNew, err := own.Doubt(now, in, true); !isNew || err != nil {
		t.Fatalf("Doubt: new %v, error %v", isNew, err)
	}
	if _, err := own.Doubt(now, weak, false); err != nil {
		t.Fatal(err)
	}
	records, version, err := own.Changes(now, 0)
	if err != nil || len(records) != 1 {
		t.Fatalf("%d records, error %v; want the certain end alone", len(records), err)
	}
	for range 2 { // a repeated record changes nothing
		if _, err := other.Merge(now.Add(time.Second), records); err != nil {
			t.Fatal(err)
		}
	}
	if !other.Doubted(in) || other.Doubted(next) || other.Doubted(weak) || !own.Doubted(weak) {
		t.Error("wrong incarnations are doubted")
	}
	if _, v, _ := other.Changes(now, 0); v != 1 {
		t.Errorf("version %d after the same record twice, want 1", v)
	}
	own.Lived(now, in)
	if !own.Doubted(in) {
		t.Error("a sign of life that is no later than the end counts")
	}
	own.Lived(now.Add(time.Second), in)
	if own.Doubted(in) {
		t.Error("doubted after a later sign of life")
	}
	if isNew, _ := own.Doubt(now.Add(2*time.Second), in, true); !isNew || !own.Doubted(in) {
		t.Error("a later end isn't noticed")
	}
	if records, _, _ := own.Changes(now, version); len(records) != 1 {
		t.Errorf("%d records after a later end, want 1", len(records))
	}
	own.Prune(now.Add(memory+3*time.Second), func(in Incarnation) bool { return in == weak })
	if own.Doubted(in) || !own.Doubted(weak) {
		t.Error("marks of listed incarnations must stay, others must go")
	}
}
