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
	const period = 10 * time.Second
	for name, c := range map[string]struct {
		change func(s *site.Site)
		age    time.Duration        // of what is asked for
		want   []string             // changed endpoints, in order; with a minus if removed
		fails  func(err error) bool // nil: must not fail
	}{
		"nothing forgotten": {func(*site.Site) {}, period, []string{"a", "b", "a", "-a"}, nil},
		"unreadable":        {func(s *site.Site) { s.Store.Put(plat.EndpointPrefix+"b", []byte("{")) }, period, []string{"a", "b", "a", "-a", "-b"}, nil},
		"forgotten, one is recent": {func(s *site.Site) { s.Store.Compact() }, period, nil, func(err error) bool {
			return errors.Is(err, errForgotten)
		}},
		"forgotten, all are older": {func(s *site.Site) { s.Store.Compact() }, 0, nil, nil},
		"outage": {func(s *site.Site) { s.Store.SetOutage(site.OutageBusy) }, period, nil, func(err error) bool {
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
			h, err := f.History(time.Now().Add(-c.age))
			if failed := err != nil; failed != (c.fails != nil) || failed && !c.fails(err) {
				t.Fatalf("unexpected error %v", err)
			}
			got := make([]string, 0, len(h.Changes))
			for _, change := range h.Changes {
				if change.Endpoint == nil {
					change.ID = "-" + change.ID
				}
				got = append(got, change.ID)
			}
			if !slices.Equal(got, c.want) {
				t.Fatalf("changes %v, want %v", got, c.want)
			}
		})
	}
}

// TestHistoryWithoutConfigurations guards against streams that are refused after a loss of
// all relays, because the configurations of the last seconds take too long to read.
func TestHistoryWithoutConfigurations(t *testing.T) {
	const configs, size = 10, 100 << 10
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	if err := s.StartEngine("a", "z1", "v1", time.Millisecond); err != nil {
		t.Fatal(err)
	}
	for range configs {
		s.Store.Put(plat.ConfigKey, make([]byte, size))
	}
	s.Store.Put(plat.DrainPrefix+"z1", nil)
	f := newFixture()
	f.Store, f.Clock = plat.NewStore(s.StoreAddr), clock.System{}
	h, err := f.History(time.Now().Add(-10 * time.Second))
	if err != nil || len(h.Changes) != 1 || !h.Zones["z1"] {
		t.Fatalf("%d changes, zones %v, %v", len(h.Changes), h.Zones, err)
	}
	if n := s.Store.BytesSent(); n > size {
		t.Errorf("%d bytes were read, of which configurations are %d each", n, size)
	}
}

// steppingClock advances with each reading.
type steppingClock struct {
	clock.Fake
	step time.Duration
}

func (c *steppingClock) Now() time.Time {
	c.Advance(c.step)
	return c.Fake.Now()
}

// TestHistoryDuringLongReads guards against streams that go on at another version after a
// loss of all relays, because the store forgot changes while it was read.
func TestHistoryDuringLongReads(t *testing.T) {
	const (
		writes, reads = 64, 5 // at least
		read          = 200 * time.Millisecond
		kept          = 20 * time.Second
	)
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	for range writes {
		s.Store.Put(plat.ConfigKey, nil)
	}
	s.Store.Compact()
	f := newFixture()
	clk := &steppingClock{step: read}
	clk.Advance(time.Hour)
	f.Store, f.Clock = plat.NewStore(s.StoreAddr), clk
	f.Retention = func() time.Duration { return kept }
	begin := clk.Now()
	h, err := f.History(begin.Add(-time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if least := begin.Add(reads*read - kept); h.Since.Before(least) {
		t.Errorf("the history counts as complete %v too early", least.Sub(h.Since))
	}
}
