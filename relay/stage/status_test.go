package stage

import (
	"reflect"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
)

// TestShares guards against pools of other owners that are shown without what their owner
// reported, and against pools that are shown although they aren't shared.
func TestShares(t *testing.T) {
	report := batch.Report{Items: 3, Delay: 2 * time.Second, DelayAge: 40 * time.Millisecond, OverShare: []string{"a", "b"}}
	r, _ := newTestRunner(t, &testHealth{shares: true}, &testPeers{owned: true, report: report})
	want := []PoolStatus{{Service: "encode", Items: 3, DelayMs: 2000, DelayAgeMs: 40, OverShare: []string{"a", "b"}}}
	if got := r.Shares(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	r, _ = newTestRunner(t, &testHealth{}, &testPeers{})
	if got := r.Shares(); got == nil || len(got) > 0 {
		t.Errorf("not shared: got %+v, want an empty list", got)
	}
}
