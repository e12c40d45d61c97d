package front_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/relay/front"
)

// TestLargeBodies guards against a process that runs out of memory since many requests with
// large bodies are in flight, and against small ones that are rejected for them.
func TestLargeBodies(t *testing.T) {
	const large, small = 100 << 10, 1 << 10
	proceed, held := make(chan struct{}), make(chan struct{}, 1)
	srv, addr, open := startServer(t, func(x *front.Exchange) {
		if string(x.Header.RequestURI()) == "/hold" {
			held <- struct{}{}
			<-proceed
		}
		var h fasthttp.ResponseHeader
		h.SetStatusCode(fasthttp.StatusOK)
		x.Respond(&h, []byte("ok"))
	})
	srv.Limits = func() fleet.Limits { return fleet.Limits{BodyBytes: 1 << 20} }
	var budget atomic.Int64
	budget.Store(150 << 10)
	srv.BodyBudget = budget.Load
	close(open)
	post := func(uri string, n int, chunked bool) func() int {
		body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
		if chunked {
			body = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("x", n))
		}
		_, r := dial(t, addr, "POST "+uri+" HTTP/1.1\r\nHost: h\r\n"+body)
		return func() int {
			var resp fasthttp.Response
			if err := resp.Read(r); err != nil {
				t.Errorf("%s: %v", uri, err)
			}
			if resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(resp.Header.Peek("Retry-After")) == 0 {
				t.Errorf("%s: no retry delay", uri)
			}
			return resp.StatusCode()
		}
	}
	first := post("/hold", large, false)
	<-held
	for _, c := range []struct {
		n       int
		chunked bool
		want    int
	}{{large, false, 503}, {large, true, 503}, {small, false, 200}, {small, true, 200}} {
		if got := post("/next", c.n, c.chunked)(); got != c.want {
			t.Errorf("%+v: got status %d", c, got)
		}
	}
	close(proceed)
	if got := first(); got != fasthttp.StatusOK {
		t.Errorf("first: got status %d", got)
	}
	budget.Store(1)
	for range 2 {
		for srv.Active() > 0 {
			time.Sleep(time.Millisecond)
		}
		if got := post("/alone", large, false)(); got != fasthttp.StatusOK {
			t.Errorf("alone: got status %d", got)
		}
	}
	<-stopAccepting(srv, time.Second)
}

// TestUnfinishedChunkedBodies guards against a process that runs out of memory as many callers send
// large bodies without a length, which count only once they have arrived whole.
func TestUnfinishedChunkedBodies(t *testing.T) {
	const large, callers = 100 << 10, 4
	srv, addr, open := startServer(t, func(*front.Exchange) { t.Error("a request without the end of its body was handled") })
	srv.Limits = func() fleet.Limits { return fleet.Limits{BodyBytes: 1 << 20} }
	srv.BodyBudget = func() int64 { return 150 << 10 }
	close(open)
	refused := make(chan int, callers)
	for range callers {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", large, strings.Repeat("x", large))
		_, r := dial(t, addr, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk)
		go func() {
			var resp fasthttp.Response
			if resp.Read(r) == nil {
				refused <- resp.StatusCode()
			}
		}()
	}
	select {
	case status := <-refused:
		if status != fasthttp.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	case <-time.After(time.Second):
		t.Errorf("%d bodies of %d kB are held at once, the budget is 150 kB", callers, large>>10)
	}
	<-stopAccepting(srv, time.Second)
}
