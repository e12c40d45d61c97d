package budget_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"wigeonplank.example/base/budget"
	"wigeonplank.example/core/clock"
)

// TestEndlessSenderGoesFirst guards against a sound response that is given up for many smaller
// ones without end, and that counts as the failure of its endpoint.
func TestEndlessSenderGoesFirst(t *testing.T) {
	const (
		part  = 100 << 10
		limit = 8 << 20
	)
	clk := clock.NewFake(time.Unix(1000, 0))
	b := &budget.Budget{Limit: func() int64 { return limit }, Clock: clk}
	sound := b.Reserve("sound", func() { t.Error("the sound response was given up") })
	if err := sound.Grow(2 << 20); err != nil {
		t.Fatal(err)
	}
	given := 0
	grow := func() { // a hundred responses of an endpoint that never ends
		for range 100 {
			r := b.Reserve("endless", func() { given++ })
			if err := r.Grow(part); err != nil && !errors.Is(err, budget.ErrOver) {
				t.Fatal(err)
			}
			defer r.Release()
		}
	}
	grow()
	if given == 0 || b.Used() > limit {
		t.Errorf("%d responses were given up, %d bytes are used", given, b.Used())
	}
	// A sender of which a response was given up goes first even if it holds least.
	before := given
	large := b.Reserve("large", func() { t.Error("a sound response was given up for one that is suspect") })
	if err := large.Grow(5 << 20); err != nil {
		t.Fatal(err)
	}
	late := b.Reserve("endless", func() { given++ })
	if err := late.Grow(3 << 20); !errors.Is(err, budget.ErrOver) || given == before {
		t.Errorf("got %v, %d responses given up", err, given-before)
	}
	sound.Release()
	large.Release()
	late.Release()
	if n := b.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// TestSuspicionEnds verifies that a sender is judged by what it holds once no response of it was
// given up for a while.
func TestSuspicionEnds(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	b := &budget.Budget{Limit: func() int64 { return 4 << 20 }, Clock: clk}
	if err := b.Reserve("a", nil).Grow(5 << 20); !errors.Is(err, budget.ErrOver) {
		t.Fatalf("got %v, want the response to be given up", err)
	}
	clk.Advance(2 * time.Minute)
	a := b.Reserve("a", func() { t.Error("the smaller response was given up") })
	if err := a.Grow(1 << 20); err != nil {
		t.Fatal(err)
	}
	other := b.Reserve("b", nil)
	if err := other.Grow(4 << 20); !errors.Is(err, budget.ErrOver) || !other.Ended() {
		t.Errorf("got %v, want the larger response to be given up", err)
	}
}

// TestWaitsForReaders guards against memory beyond the limit, as the readers of responses that
// were given up hold it until they notice, while others take what counts as free.
func TestWaitsForReaders(t *testing.T) {
	const limit = 8 << 20
	var paused atomic.Int64
	elapsed := make(chan time.Time, 1)
	b := &budget.Budget{Limit: func() int64 { return limit }, After: func(time.Duration) <-chan time.Time {
		paused.Add(1)
		return elapsed
	}}
	given := make(chan struct{})
	first := b.Reserve("endless", func() { close(given) })
	if err := first.Grow(limit); err != nil {
		t.Fatal(err)
	}
	second := b.Reserve("sound", nil)
	result := make(chan error)
	var released atomic.Bool
	go func() {
		err := second.Grow(1 << 20)
		if !released.Load() {
			err = errors.New("went on before the memory was free")
		}
		result <- err
	}()
	<-given
	small := b.Reserve("small", nil)
	if err := small.Grow(1 << 10); err != nil { // doesn't wait
		t.Fatal(err)
	}
	released.Store(true)
	first.Release()
	if err := <-result; err != nil {
		t.Error(err)
	}
	first.Release() // no second time
	small.Release()
	// A reader that doesn't notice keeps others for a short time only.
	third := b.Reserve("endless", func() {})
	if err := third.Grow(limit); !errors.Is(err, budget.ErrOver) {
		t.Fatalf("got %v, want %v", err, budget.ErrOver)
	}
	before := paused.Load()
	elapsed <- time.Time{}
	if err := second.Grow(1); err != nil || paused.Load() != before+1 {
		t.Errorf("got %v after %d pauses, want none after 1", err, paused.Load()-before)
	}
	third.Release()
	second.Release()
	if err := second.Grow(1 << 20); err != nil || paused.Load() != before+1 {
		t.Errorf("got %v after %d pauses, want none", err, paused.Load()-before-1)
	}
	second.Release()
	if n := b.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}
