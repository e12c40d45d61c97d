package ctrl

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/repl"
	"wigeonplank.example/fakes/site"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// TestContactBeforeStandstill guards against a view that counts as that of now, here and at the relays
// that are told of the contact, although the store has responded before this process stood still:
// what was added meanwhile is missing.
func TestContactBeforeStandstill(t *testing.T) {
	const took = 3 * time.Second
	for _, runs := range []bool{true, false} {
		clk := clock.NewFake(time.Unix(1000, 0))
		var c *Control
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				clk.Advance(took / 10)
				if runs {
					c.Tick()
				}
			}
			_, _ = w.Write(site.NoChanges(5)) // the read fails if this does
		}))
		c = New("a", plat.NewStore(s.Listener.Addr().String()), clk, logs.New(io.Discard, clk, "a"))
		c.point = repl.Point{Revision: 5}
		begun := clk.Now()
		if !c.readChanges(context.Background()) {
			t.Error("the read failed")
		}
		want := begun
		if runs {
			want = clk.Now()
		}
		if at := c.Position().Contact.At; !at.Equal(want) {
			t.Errorf("process runs: %v: contact %v after the begin of the read, want %v", runs, at.Sub(begun), want.Sub(begun))
		}
		s.Close()
	}
}

// TestNewsFromBeforeStandstill guards against a contact with the store that counts as later than it
// was, at the relays that are told of it, because the message waited while this process stood still.
func TestNewsFromBeforeStandstill(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("e"))
	was := f.Position().Contact.At
	for range 10 {
		f.clock.Advance(maxTickGap / 2)
		f.Tick()
	}
	f.clock.Advance(3 * time.Second) // the process stands still
	f.Tick()
	news := func() {
		f.Announced(repl.Position{Point: f.Position().Point, Contact: repl.Contact{At: f.clock.Now(), Origin: "b"}})
	}
	news() // may have been sent before
	if at := f.Position().Contact.At; !at.Equal(was) {
		t.Errorf("contact %v later than known before the standstill", at.Sub(was))
	}
	for range 3 {
		f.clock.Advance(maxTickGap)
		f.Tick()
	}
	news()
	if at := f.Position().Contact.At; !at.Equal(f.clock.Now()) {
		t.Errorf("contact %v ago, want that of a message that was sent since", f.clock.Now().Sub(at))
	}
}
