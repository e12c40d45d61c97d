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
	req    *request
	clock  *clock.Fake
	onLook func() // called at each look at the view
}

// lookTime is the time that a look at the view takes.
const lookTime = 10 * time.Millisecond

// newBroken returns a broken stream of a service that has the endpoint "other" too.
func newBroken(t *testing.T, other *fleet.Endpoint) *broken {
	t.Helper()
	svc := &fleet.Service{Name: "s"}
	cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Services: []*fleet.Service{svc}})
	if err != nil {
		t.Fatal(err)
	}
	b := &broken{clock: clock.NewFake(time.Now()), onLook: func() {}}
	gone := &fleet.Endpoint{ID: "tried", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady}
	b.req = newPanicking(t, svc, gone)
	v := fleet.View{}.WithConfig(cfg).WithChange(fleet.Change{Put: []*fleet.Endpoint{gone, other}})
	f := b.req.Forwarder
	f.View = func() *fleet.View {
		b.clock.Advance(lookTime)
		b.onLook()
		return &v
	}
	f.Clock, f.Balancer.Clock, f.Pool = b.clock, b.clock, &pool.Pool{}
	f.Refresh = func(context.Context, time.Duration) bool { return false }
	f.Incarnations = &life.Ledger{Announce: func() {}, Clock: b.clock, Log: logs.New(io.Discard, b.clock, "a")}
	version := "v1"
	b.req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: true}
	b.req.version, b.req.mayHaveRun, b.req.tried[gone.ID] = &version, true, true
	b.req.deadline = b.clock.Now().Add(time.Minute)
	return b
}

// next returns the ID of the endpoint at which the stream goes on, or "" if the request ends,
// and the time until then.
func (b *broken) next(t *testing.T) (id string, waited time.Duration) {
	t.Helper()
	exchangeWith(t, b.req, func(x *front.Exchange) {
		b.req.exchange = x
		begun := b.clock.Now()
		c, ok := b.req.nextEndpoint(x.Context, nil)
		if waited = b.clock.Now().Sub(begun); ok {
			id = c.Endpoint.ID
			x.Reject(fasthttp.StatusOK, 0)
		}
	})
	return id, waited
}

// close has the endpoint "other" announce that it wants no requests for a time.
func (b *broken) close(d time.Duration) {
	now := b.clock.Now()
	b.req.Balancer.RecordNotices([]notice.Entry{{Endpoint: "other", Notice: notice.Response{ClosedFor: d, SentAt: now, ReceivedAt: now}.Notice()}})
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

// atOnce is above the time of a choice without a wait.
const atOnce = 15 * lookTime

// TestStreamGoesOnWithoutStore guards against a stream that breaks off, or waits, because the
// store is away.
func TestStreamGoesOnWithoutStore(t *testing.T) {
	if got, waited := newBroken(t, ready("v1")).next(t); got != "other" || waited > atOnce {
		t.Errorf("went on at %q after %v, want other at once", got, waited)
	}
}

// TestAwaitsAnnouncement guards against a stream that breaks off as the only other endpoint
// wants no requests for a moment.
func TestAwaitsAnnouncement(t *testing.T) {
	b := newBroken(t, ready("v1"))
	b.close(time.Second)
	if got, waited := b.next(t); got != "other" {
		t.Errorf("went on at %q after %v, want other", got, waited)
	}
}

// TestWaitIsBounded guards against a request that waits for an endpoint although none can
// become usable, that waits for long, or that could ask its caller to return instead.
func TestWaitIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		version string
		change  func(b *broken, e *fleet.Endpoint)
		wait    time.Duration // at most
	}{
		"another version":     {version: "v2", wait: atOnce},
		"tried":               {version: "v1", wait: atOnce, change: func(b *broken, e *fleet.Endpoint) { b.req.tried[e.ID] = true }},
		"known to have ended": {version: "v1", wait: atOnce, change: func(b *broken, e *fleet.Endpoint) { b.req.Incarnations.Ended(e) }},
		"may be sent again":   {version: "v1", wait: atOnce, change: func(b *broken, _ *fleet.Endpoint) { b.close(time.Second); b.req.mayHaveRun = false }},
		"too little time left": {version: "v1", wait: atOnce, change: func(b *broken, _ *fleet.Endpoint) {
			b.close(time.Second)
			b.req.deadline = b.clock.Now().Add(emptyPromptLatency)
		}},
		"closed for a minute":    {version: "v1", wait: atOnce, change: func(b *broken, _ *fleet.Endpoint) { b.close(time.Minute) }},
		"closed again and again": {version: "v1", wait: maxEndpointWait + atOnce, change: func(b *broken, _ *fleet.Endpoint) { b.onLook = func() { b.close(time.Second) } }},
	} {
		t.Run(name, func(t *testing.T) {
			e := ready(test.version)
			b := newBroken(t, e)
			if test.change != nil {
				test.change(b, e)
			}
			if got, waited := b.next(t); got != "" || waited > test.wait {
				t.Errorf("went on at %q after %v, want none after %v at most", got, waited, test.wait)
			}
		})
	}
}
