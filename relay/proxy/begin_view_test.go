package proxy

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/relay/front"
)

// TestStreamsOfOldViews guards against streams that begin at a relay whose view is older
// than others assume, and against relays that refuse streams in an outage of the store.
func TestStreamsOfOldViews(t *testing.T) {
	const (
		fresh = origin.MaxViewLag
		early = origin.MaxViewLag - earlyRead
		old   = origin.MaxViewLag + time.Millisecond
	)
	stream := fleet.Route{Kind: fleet.KindStream, Resumable: true}
	tests := map[string]struct {
		route     fleet.Route
		age       time.Duration
		refreshed bool // the store responds
		unread    bool // by all relays
		cut       bool // from others
		begins    bool
		refreshes int32
	}{
		"fresh":                      {route: stream, age: fresh, begins: true},
		"fresh, from others":         {route: stream, age: early, cut: true, begins: true},
		"soon old, cut off":          {route: stream, age: fresh, cut: true, begins: true, refreshes: 1},
		"read again":                 {route: stream, age: old, refreshed: true, begins: true, refreshes: 1},
		"others read":                {route: stream, age: old, refreshes: 1},
		"cut off":                    {route: stream, age: old, unread: true, cut: true, refreshes: 1},
		"store is away":              {route: stream, age: old, unread: true, begins: true, refreshes: 1},
		"can't be taken up":          {route: fleet.Route{Kind: fleet.KindStream}, age: old, cut: true, begins: true},
		"a single response, cut off": {route: fleet.Route{}, age: old, cut: true, begins: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			req := newPanicking(t, &fleet.Service{Name: "s"}, &fleet.Endpoint{ID: "e", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady})
			var refreshes atomic.Int32
			req.route, req.ViewAge = &tt.route, func() time.Duration { return tt.age }
			req.Unread, req.ReachesHalf = func() bool { return tt.unread }, func() bool { return !tt.cut }
			req.Refresh = func(_ context.Context, maxAge time.Duration) bool {
				if refreshes.Add(1); maxAge > origin.MaxViewLag {
					t.Errorf("a refresh is %v old", maxAge)
				}
				return tt.refreshed
			}
			var status int
			var retryAfter time.Duration
			exchangeWith(t, req, func(x *front.Exchange) {
				req.exchange = x
				c, ok := req.nextEndpoint(x.Context, nil)
				if ok != tt.begins || ok && c.Endpoint.ID != "e" {
					t.Errorf("begins: %v, want %v", ok, tt.begins)
				}
				if ok {
					x.Reject(fasthttp.StatusOK, 0)
				}
				status, retryAfter = x.Status(), req.retryAfter
			})
			for req.refreshing.Load() {
				runtime.Gosched()
			}
			if n := refreshes.Load(); n != tt.refreshes {
				t.Errorf("%d refreshes, want %d", n, tt.refreshes)
			}
			if !tt.begins && (status != fasthttp.StatusServiceUnavailable || retryAfter < oldViewRetryAfter || retryAfter > 2*oldViewRetryAfter || !strings.Contains(req.outcome, reasonOldView)) {
				t.Errorf("status %d, retry after %v, outcome %q", status, retryAfter, req.outcome)
			}
		})
	}
}

// TestResumedStreamNeedsNoView guards against a stream that has begun and is refused
// because its relay is cut off.
func TestResumedStreamNeedsNoView(t *testing.T) {
	version := "v1"
	req := &request{Forwarder: &Forwarder{}, route: &fleet.Route{Kind: fleet.KindStream, Resumable: true}, version: &version}
	if !req.mayBegin(context.Background()) {
		t.Error("a stream that has begun is refused")
	}
}
