package proxy

import (
	"context"
	"errors"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/pool"
)

// newStream returns a request for a stream of a service with one endpoint, which started at
// listed by the view, and a connection to it that tells told; 0: nothing.
func newStream(t *testing.T, listed, told int64) (*request, *tableOrigins, *fleet.Endpoint, *pool.Conn) {
	t.Helper()
	e := &fleet.Endpoint{ID: "e", Service: "s", Version: "v1", Addr: startEndpoint(t, told), Slots: 1, State: fleet.StateReady, StartUnixMs: listed}
	req := newPanicking(t, &fleet.Service{Name: "s"}, e)
	origins := &tableOrigins{}
	req.Pool, req.Origins, req.headers = &pool.Pool{}, origins, plat.Request{ID: "a", LastEventID: -1}
	req.Incarnations = &life.Ledger{Announce: func() {}, Clock: req.Clock, Log: req.Log}
	req.Refresh = func(context.Context, time.Duration) bool { return true }
	req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: true}
	c, err := req.connect(t.Context(), e)
	if err != nil {
		t.Fatal(err)
	}
	return req, origins, e, c
}

// TestRecordVersion guards against a stream that is remembered with the version of another
// incarnation than the one that began it, and one that never gets its version.
func TestRecordVersion(t *testing.T) {
	presumed := origin.Origin{Service: "s", Presumed: origin.Incarnation{Endpoint: "e", StartUnixMs: 2}}
	for name, test := range map[string]struct {
		listed, told int64
		want         origin.Origin
		ended        bool   // the listed incarnation
		later        string // version once the view lists what the endpoint told; empty: unknown
	}{
		"listed":            {2, 2, origin.Origin{Service: "s", Version: "v1"}, false, "v1"},
		"another is listed": {1, 2, presumed, true, "v2"},
		"not told":          {1, 0, origin.Origin{}, false, ""},
		"neither":           {0, 0, origin.Origin{}, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			req, origins, e, c := newStream(t, test.listed, test.told)
			req.recordVersion(e, c)
			if got, _ := origins.table.Get(time.Now(), "a"); got != test.want {
				t.Errorf("recorded %+v, want %+v", got, test.want)
			}
			if ended := req.Incarnations.Doubted(e); ended != test.ended {
				t.Errorf("the listed incarnation has ended: %v, want %v", ended, test.ended)
			}
			if test.want == presumed {
				if req.deadline = time.Now().Add(60 * time.Millisecond); req.confirmBeginning(t.Context()) {
					t.Error("the version is known although the incarnation isn't listed")
				}
				next := *e
				next.Version, next.StartUnixMs = "v2", test.told
				v := req.View().WithChange(fleet.Change{Put: []*fleet.Endpoint{&next}})
				req.View = func() *fleet.View { return &v }
			}
			known := req.confirmBeginning(t.Context())
			if got, _ := origins.table.Get(time.Now(), "a"); known != (test.later != "") || got.Version != test.later || known && *req.version != test.later {
				t.Errorf("known %v, recorded %+v, want version %q", known, got, test.later)
			}
		})
	}
}

// TestGoesOnAtListedIncarnation guards against a stream that goes on at an endpoint whose
// version isn't that of the list, and an endpoint that is given up though only a connection is
// from before.
func TestGoesOnAtListedIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		listed, told int64
		goesOn       bool
	}{"listed": {2, 2, true}, "another is listed": {1, 2, false}, "not told": {1, 0, false}, "neither": {0, 0, false}} {
		t.Run(name, func(t *testing.T) {
			req, _, e, kept := newStream(t, test.listed, test.told)
			req.Pool.Put(kept, 0)
			req.version = &e.Version
			c, err := req.connect(t.Context(), e)
			if (err == nil) != test.goesOn || err != nil && !errors.Is(err, errDoubted) || test.goesOn && c != kept {
				t.Errorf("connection %v, error %v; goes on: %v", c, err, test.goesOn)
			}
		})
	}
	t.Run("kept from before", func(t *testing.T) {
		req, _, e, kept := newStream(t, 1, 1)
		req.Pool.Put(kept, 0)
		req.version = &e.Version
		next := *e
		next.StartUnixMs = 2
		if _, err := req.connect(t.Context(), &next); !errors.Is(err, errDoubted) || req.Pool.Dials() != 2 {
			t.Errorf("error %v after %d dials", err, req.Pool.Dials())
		}
	})
}

// TestLateResponseEndsNoDoubt guards against an endpoint that is known to have ended and counts as alive again, as a
// response from before is read late.
func TestLateResponseEndsNoDoubt(t *testing.T) {
	req, _, e, c := newStream(t, 1, 1)
	call := &pool.Call{Conn: c}
	req.attemptAt = req.Clock.Now()
	req.Incarnations.Ended(e)
	if req.recordResponse(e, call); !req.Incarnations.Doubted(e) {
		t.Error("the response to a request from before its end counts")
	}
	req.attemptAt = req.Clock.Now()
	if req.recordResponse(e, call); req.Incarnations.Doubted(e) {
		t.Error("a later one doesn't count")
	}
}
