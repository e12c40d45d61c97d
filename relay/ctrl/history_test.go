package ctrl

import (
	"errors"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/fakes/site"
	plat "wigeonplank.example/platform"
)

// TestHistory checks what a relay learns of the time before its start: changes that the
// store still has, and that it doesn't rely on a store that forgot them too early.
func TestHistory(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *site.Site)
		want   []string             // changed endpoints, in order
		fails  func(err error) bool // nil: must not fail
	}{
		"nothing forgotten": {func(*site.Site) {}, []string{"a", "b", "a", "a"}, nil},
		"forgotten, one is recent": {func(s *site.Site) { s.Store.Compact() }, nil, func(err error) bool {
			return errors.Is(err, errForgotten)
		}},
		"outage": {func(s *site.Site) { s.Store.SetOutage(site.OutageBusy) }, nil, func(err error) bool {
			var status *plat.StatusError
			return errors.As(err, &status)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := site.New()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Close() })
			for _, id := range []string{"a", "b"} {
				if err := s.StartEngine(id, "z1", "v1", time.Millisecond); err != nil {
					t.Fatal(err)
				}
			}
			if err := s.Register("a", "draining"); err != nil {
				t.Fatal(err)
			}
			s.Deregister("a")
			c.change(s)
			f := newFixture()
			f.Store, f.Clock = plat.NewStore(s.StoreAddr), clock.System{}
			f.Retention = func() time.Duration { return 20 * time.Second }
			h, err := f.History(time.Now().Add(-10 * time.Second))
			if failed := err != nil; failed != (c.fails != nil) || failed && !c.fails(err) {
				t.Fatalf("unexpected error %v", err)
			}
			got := make([]string, 0, len(h.Changes))
			for _, change := range h.Changes {
				got = append(got, change.ID)
			}
			if !slices.Equal(got, c.want) {
				t.Fatalf("changes %v, want %v", got, c.want)
			}
		})
	}
}
