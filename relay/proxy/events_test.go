package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/guard"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/pool"
)

// noOrigins remembers no streams.
type noOrigins struct{}

func (noOrigins) RecordOrigin(string, origin.Origin) {}

func (noOrigins) FindOrigin(context.Context, string, time.Duration) origin.Finding {
	return origin.Finding{Result: origin.Unrecorded}
}

// tellStart answers a request for the report of an endpoint that started at a time. It returns false
// for other requests.
func tellStart(w io.Writer, request []byte, unixMs int64) bool {
	if !bytes.HasPrefix(request, []byte("GET /report ")) {
		return false
	}
	report := fmt.Sprintf(`{"born":%d}`, unixMs)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report) // fails only if the relay has given up
	return true
}

// startEndpoint starts an endpoint that tells when its incarnation started, and nothing else.
func startEndpoint(t *testing.T, unixMs int64) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				buf := make([]byte, 4096)
				for n, err := conn.Read(buf); err == nil && tellStart(conn, buf[:n], unixMs); n, err = conn.Read(buf) {
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// serveRuns answers one request on each connection: those that resume a stream with again, the others
// with first. It sends the head of each request to heads, which must have room.
func serveRuns(t *testing.T, first, again string, heads chan<- string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var runs atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buf := make([]byte, 4096)
				n, _ := conn.Read(buf)
				if tellStart(conn, buf[:n], 1) {
					n, _ = conn.Read(buf)
				}
				if !bytes.HasPrefix(buf[:n], []byte("GET /r ")) {
					return // a probe
				}
				heads <- string(buf[:n])
				text := first
				if runs.Add(1) > 1 {
					text = again
				}
				_, _ = io.WriteString(conn, site.ResponseHead("r1")+text) // fails only if the relay has given up
			}()
		}
	}()
	return ln.Addr().String()
}

// streamOver returns the body that a caller gets of a stream whose first run answers with first and the
// next ones with again, whether it is whole, and the heads of the requests that were sent.
func streamOver(t *testing.T, resumable bool, lastEvent int64, first, again string) (body string, whole bool, heads chan string) {
	t.Helper()
	heads = make(chan string, 10)
	body, whole = streamAt(t, serveRuns(t, first, again, heads), resumable, lastEvent)
	return body, whole, heads
}

// streamAt is streamOver for a service whose endpoints are all at an address.
func streamAt(t *testing.T, addr string, resumable bool, lastEvent int64) (body string, whole bool) {
	t.Helper()
	_, r := responseAt(t, addr, &fleet.Route{Kind: fleet.KindStream, Resumable: resumable}, lastEvent, (*request).forwardStream)
	var b strings.Builder
	whole = copyChunks(&b, r) == nil
	return b.String(), whole
}

// responseAt returns the head and a reader of the body that a caller gets for a request of a route to a
// service whose endpoints are all at an address.
func responseAt(
	t *testing.T, addr string, route *fleet.Route, lastEvent int64, forward func(*request, context.Context),
) (*fasthttp.ResponseHeader, *bufio.Reader) {
	t.Helper()
	svc := &fleet.Service{Name: "s"}
	list := make([]*fleet.Endpoint, 0, 3)
	for i := range cap(list) {
		list = append(list, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Version: "v1", Addr: addr, Slots: 1, State: fleet.StateReady, StartUnixMs: 1})
	}
	req := newPanicking(t, svc, list[0])
	v := req.View().WithChange(fleet.Change{Put: list})
	req.View = func() *fleet.View { return &v }
	req.Guard = &guard.Guard{
		View: req.View, Rank: func(string) int { return 0 }, Announce: func() {}, OnCrash: func(*fleet.Endpoint) {}, Clock: req.Clock, Log: req.Log,
		Meters: req.Meters, Pool: &pool.Pool{},
	}
	req.Pool, req.Origins = &pool.Pool{}, noOrigins{}
	req.NewBudget = func() *retry.Budget { return &retry.Budget{Ratio: 10, MaxBalance: 10} }
	req.Refresh = func(context.Context, time.Duration) bool { return true }
	req.Incarnations = &life.Ledger{Announce: func() {}, Clock: req.Clock, Log: req.Log}
	route.Name, route.Timeout, route.MaxAttempts = "r", 5*time.Second, 3
	req.route = route
	req.headers.ID, req.headers.LastEventID, req.headers.Deadline = "r1", lastEvent, time.Hour
	srv := &front.Server{Limits: func() fleet.Limits { return fleet.Limits{} }, Log: req.Log}
	srv.Handle = func(x *front.Exchange) {
		req.exchange, req.startedAt = x, x.StartedAt
		req.setDeadline()
		ctx, cancel := context.WithDeadline(x.Context, req.deadline)
		defer cancel()
		forward(req, ctx)
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
	t.Cleanup(func() { _ = c.Close() })
	var request fasthttp.RequestHeader
	request.SetRequestURI("/r")
	request.SetHost("h")
	(&site.Call{AttemptID: "r1"}).SetHeaders(&request)
	if _, err := c.Write(request.Header()); err != nil {
		t.Fatal(err)
	}
	var h fasthttp.ResponseHeader
	r := bufio.NewReader(c)
	if err := h.Read(r); err != nil {
		t.Fatal(err)
	}
	return &h, r
}

// copyChunks copies a chunked body and returns an error if it isn't whole.
func copyChunks(w io.Writer, r *bufio.Reader) error {
	for {
		var n int64
		if _, err := fmt.Fscanf(r, "%x\r\n", &n); err != nil {
			return fmt.Errorf("size of a chunk: %w", err)
		}
		if _, err := io.CopyN(w, r, n); err != nil {
			return fmt.Errorf("chunk: %w", err)
		}
		if _, err := r.Discard(len("\r\n")); err != nil || n == 0 {
			return err
		}
	}
}

// TestRunsAreNotJoined guards against pieces of a stream that are missing or come twice, as one run of it breaks and
// another one follows, and against an end that comes too early.
func TestRunsAreNotJoined(t *testing.T) {
	const (
		head    = "\r\n" // of an answer that ends with its connection
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	numbered := func(from, to int) string {
		var b strings.Builder
		for i := from; i < to; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
		}
		return b.String()
	}
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, test := range map[string]struct {
		final        bool  // the route can't be resumed
		taken        int64 // events that the caller has
		first, again string
		want         string
		whole        bool
	}{
		"resumed":                        {first: head + numbered(0, 3) + "id", again: head + numbered(3, 6), want: numbered(0, 6), whole: true},
		"ids from one on":                {first: head + numbered(1, 3) + "id", again: head + numbered(3, 6), want: numbered(1, 6), whole: true},
		"starts over":                    {first: head + numbered(0, 3) + "id", again: head + numbered(0, 6), want: numbered(0, 3)},
		"skips events":                   {first: head + numbered(0, 3) + "id", again: head + numbered(4, 6), want: numbered(0, 3)},
		"repeats the last event":         {first: head + numbered(0, 3) + "id", again: head + numbered(2, 6), want: numbered(0, 3)},
		"event without id":               {first: head + "data: a\n\nda", again: head + "data: a\n\ndata: b\n\n", want: "data: a\n\n"},
		"event without id after others":  {first: head + numbered(0, 2) + "data: a\n\nid", again: head + "data: a\n\n" + numbered(2, 4), want: numbered(0, 2) + "data: a\n\n"},
		"comment before a break":         {first: head + numbered(0, 2) + ": c\n\nid", again: head + numbered(2, 4), want: numbered(0, 2) + ": c\n\n" + numbered(2, 4), whole: true},
		"resumed without ids":            {first: head + numbered(0, 2) + "id", again: head + "data: 0\n\ndata: 1\n\n", want: numbered(0, 2)},
		"taken up without ids":           {taken: 2, first: head + "data: 0\n\n" + numbered(2, 3), again: head + numbered(2, 4), want: numbered(2, 4), whole: true},
		"can't be resumed":               {final: true, first: head + numbered(0, 3) + "id", again: head + numbered(3, 6), want: numbered(0, 3)},
		"no last chunk":                  {first: chunked + chunk(numbered(0, 3)), again: head + numbered(3, 6), want: numbered(0, 6), whole: true},
		"no last chunk, not resumed":     {final: true, first: chunked + chunk(numbered(0, 3)), want: numbered(0, 3)},
		"length not reached":             {final: true, first: "Content-Length: 100\r\n\r\n" + numbered(0, 3), want: numbered(0, 3)},
		"a copy of the answer follows":   {final: true, first: head + numbered(0, 3) + site.ResponseHead("r1") + head + numbered(0, 3), want: numbered(0, 3)},
		"two events in one":              {final: true, first: head + numbered(0, 2) + "id: 2\ndata: 2\nid: 3\ndata: 3\n\n", want: numbered(0, 2)},
		"resumed run answers otherwise":  {first: head + numbered(0, 3) + "id", again: "X-Other: 1\r\n\r\n" + numbered(3, 6), want: numbered(0, 6), whole: true},
		"resumed run ends before events": {first: head + numbered(0, 3) + "id", again: head, want: numbered(0, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			body, whole, heads := streamOver(t, !test.final, test.taken-1, test.first, test.again)
			if body != test.want || whole != test.whole {
				t.Errorf("got %q, whole: %v; want %q, whole: %v", body, whole, test.want, test.whole)
			}
			if test.final && len(heads) > 1 {
				t.Errorf("%d runs, want 1", len(heads))
			}
		})
	}
}
