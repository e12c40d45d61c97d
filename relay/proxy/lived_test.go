package proxy

import (
	"net"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/relay/pool"
)

// TestLateResponseEndsNoDoubt guards against an endpoint that is known to have ended and counts as alive again, as a
// response from before is read late.
func TestLateResponseEndsNoDoubt(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	e := &fleet.Endpoint{ID: "other", Service: "s", Version: "v1", Addr: ln.Addr().String(), Slots: 1, State: fleet.StateReady}
	b := newBroken(t, e, 1)
	in := b.req.Incarnations
	in.Since, in.ListedUntil = b.req.Pool.Since, time.Now
	c, err := b.req.Pool.Get(t.Context(), pool.KindRequest, e.ID, e.Addr, true)
	if err != nil {
		t.Fatal(err)
	}
	sentAt := b.clock.Now()
	b.clock.Advance(time.Second)
	in.Ended(e)
	b.clock.Advance(time.Second)
	in.recordLife(e, c, sentAt)
	if !in.Doubted(e) {
		t.Error("the response to a request from before its end counts")
	}
	in.recordLife(e, c, b.clock.Now())
	if in.Doubted(e) {
		t.Error("a later one doesn't count")
	}
}
