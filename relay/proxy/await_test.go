package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
)

// broken is a stream that has broken off at the endpoint "tried" of version v1, and whose
// relay has just lost the store.
type broken struct {
	req       *request
	clock     *clock.Fake
	refreshes int
	knownAt   int // number of the refresh from which on the incarnations are known; 0: never
}

// newBroken returns a broken stream of a service that has the endpoint "other" too.
func newBroken(t *testing.T, other *fleet.Endpoint, knownAt int) *broken {
	t.Helper()
	svc := &fleet.Service{Name: "s"}
	cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Services: []*fleet.Service{svc}})
	if err != nil {
		t.Fatal(err)
	}
	b := &broken{clock: clock.NewFake(time.Now()), knownAt: knownAt}
	gone := &fleet.Endpoint{ID: "tried", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady}
	b.req = newPanicking(t, svc, gone)
	v := fleet.View{}.WithConfig(cfg).WithChange(fleet.Change{Put: []*fleet.Endpoint{gone, other}})
	f := b.req.Forwarder
	f.View = func() *fleet.View { return &v }
	f.Clock, f.Balancer.Clock, f.Pool = b.clock, b.clock, &pool.Pool{}
	known := func() bool { return b.knownAt > 0 && b.refreshes >= b.knownAt }
	f.Refresh = func(context.Context, time.Duration) bool {
		b.refreshes++
		b.clock.Advance(100 * time.Millisecond)
		return known()
	}
	f.Incarnations = &Incarnations{
		Ledger:      &life.Ledger{Announce: func() {}, Clock: b.clock, Log: logs.New(io.Discard, b.clock, "a")},
		ListedUntil: func() time.Time { return time.Time{} }, Current: known,
	}
	version := "v1"
	b.req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: true}
	b.req.version, b.req.mayHaveRun, b.req.tried[gone.ID] = &version, true, true
	b.req.deadline = b.clock.Now().Add(time.Minute)
	return b
}

// next returns the ID of the endpoint at which the stream goes on, or "" if the request ends.
func (b *broken) next(t *testing.T) string {
	t.Helper()
	id := ""
	exchangeWith(t, b.req, func(x *front.Exchange) {
		b.req.exchange = x
		if c, ok := b.req.nextEndpoint(x.Context, nil); ok {
			id = c.Endpoint.ID
			x.Reject(fasthttp.StatusOK, 0)
		}
	})
	return id
}

// exchangeWith sends a request to a server that handles it by handle.
func exchangeWith(t *testing.T, req *request, handle func(x *front.Exchange)) {
	t.Helper()
	handled := make(chan struct{})
	srv := &front.Server{Limits: func() fleet.Limits { return fleet.Limits{} }, Log: req.Log}
	srv.Handle = func(x *front.Exchange) {
		defer close(handled)
		handle(x)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = srv.Serve(ln) }() // returns when ln is closed
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	<-handled
}

func ready(version string) *fleet.Endpoint {
	return &fleet.Endpoint{ID: "other", Service: "s", Version: version, Slots: 1, State: fleet.StateReady}
}

// TestStreamAwaitsKnowledge guards against a stream that breaks off with time left, as its
// endpoint ended a moment before this relay knew again which incarnations live.
func TestStreamAwaitsKnowledge(t *testing.T) {
	b := newBroken(t, ready("v1"), 10)
	if got := b.next(t); got != "other" {
		t.Errorf("went on at %q after %d looks, want other", got, b.refreshes)
	}
}

// TestAwaitsAnnouncement guards against a stream that breaks off as the only other endpoint
// wants no requests for a moment.
func TestAwaitsAnnouncement(t *testing.T) {
	e := ready("v1")
	b := newBroken(t, e, 1)
	now := b.clock.Now()
	b.req.Balancer.RecordNotices([]notice.Entry{{Endpoint: e.ID, Notice: notice.Response{ClosedFor: time.Second, SentAt: now, ReceivedAt: now}.Notice()}})
	if got := b.next(t); got != "other" {
		t.Errorf("went on at %q after %d looks, want other", got, b.refreshes)
	}
}

// TestWaitIsBounded guards against a request that waits for an endpoint although none can
// become usable, that waits for long, or that could ask its caller to return instead.
func TestWaitIsBounded(t *testing.T) {
	const once = 1
	for name, test := range map[string]struct {
		version   string
		change    func(b *broken, e *fleet.Endpoint)
		refreshes int // at most
	}{
		"another version":      {version: "v2", refreshes: once},
		"tried":                {version: "v1", refreshes: once, change: func(b *broken, e *fleet.Endpoint) { b.req.tried[e.ID] = true }},
		"known to have ended":  {version: "v1", refreshes: once, change: func(b *broken, e *fleet.Endpoint) { b.req.Incarnations.Ended(e) }},
		"may be sent again":    {version: "v1", refreshes: once, change: func(b *broken, _ *fleet.Endpoint) { b.req.mayHaveRun = false }},
		"too little time left": {version: "v1", refreshes: once, change: func(b *broken, _ *fleet.Endpoint) { b.req.deadline = b.clock.Now().Add(emptyPromptLatency) }},
		"closed for a minute": {version: "v1", refreshes: once, change: func(b *broken, e *fleet.Endpoint) {
			b.knownAt = 1
			now := b.clock.Now()
			b.req.Balancer.RecordNotices([]notice.Entry{{Endpoint: e.ID, Notice: notice.Response{ClosedFor: time.Minute, SentAt: now, ReceivedAt: now}.Notice()}})
		}},
		"never known": {version: "v1", refreshes: int(maxEndpointWait/(100*time.Millisecond)) + 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := ready(test.version)
			b := newBroken(t, e, 0)
			if test.change != nil {
				test.change(b, e)
			}
			if got := b.next(t); got != "" || b.refreshes > test.refreshes {
				t.Errorf("went on at %q after %d looks, want none after %d", got, b.refreshes, test.refreshes)
			}
		})
	}
}
