package pool_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeonplank.example/base/budget"
	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/pool"
)

// serveRaw accepts connections on loopback, reads the header of one request on each and
// answers with what respond writes.
func serveRaw(t *testing.T, respond func(conn net.Conn)) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				buf := make([]byte, 4096)
				if _, err := conn.Read(buf); err == nil {
					respond(conn)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// repeatWrites writes text again and again until the other end closes the connection.
func repeatWrites(conn net.Conn, text string) {
	block := []byte(strings.Repeat(text, 64<<10/len(text)))
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// exchange sends a request and reads the whole response. It returns the size of the
// body.
func exchange(p *pool.Pool, addr string, deadline time.Time) (int, error) {
	conn, err := p.Get(context.Background(), pool.KindRequest, "e", addr, true)
	if err != nil {
		return 0, err
	}
	c := &pool.Call{Conn: conn}
	defer c.Finish(p)
	if _, err := c.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil, deadline); err != nil {
		return 0, err
	}
	if err := c.Receive("r1", deadline); err != nil {
		return 0, err
	}
	body, err := c.ReadAll()
	return len(body), err
}

// endless are responses whose text is repeated without end after a beginning.
var endless = map[string][2]string{
	"length of 12 digits":  {site.ResponseHead("r1") + "Content-Length: 999999999999\r\n\r\n", "x"},
	"no length":            {site.ResponseHead("r1") + "\r\n", "x"},
	"chunks":               {site.ResponseHead("r1") + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	"chunk extension":      {site.ResponseHead("r1") + "Transfer-Encoding: chunked\r\n\r\n1;a=", "x"},
	"trailer":              {site.ResponseHead("r1") + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	"line of a trailer":    {site.ResponseHead("r1") + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "x"},
	"header":               {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	"status line":          {"HTTP/1.1 200 ", "x"},
	"interim responses":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"response to another":  {site.ResponseHead("r2") + "\r\n", "x"},
	"responses to another": {"", site.ResponseHead("r2") + "Content-Length: 1\r\n\r\nx"},
}

// TestEndlessResponses guards against responses without end that a call reads until its
// deadline.
func TestEndlessResponses(t *testing.T) {
	for name, text := range endless {
		t.Run(name, func(t *testing.T) {
			addr := serveRaw(t, func(conn net.Conn) {
				if _, err := conn.Write([]byte(text[0])); err == nil {
					repeatWrites(conn, text[1])
				}
			})
			deadline := time.Now().Add(time.Minute)
			if _, err := exchange(&pool.Pool{}, addr, deadline); err == nil || !time.Now().Before(deadline) {
				t.Errorf("got error %v, want one long before the deadline", err)
			}
		})
	}
}

// TestEndlessResponsesTogether guards against a process that runs out of memory since
// many responses without end arrive at the same time, and against sound responses that
// are given up for them.
func TestEndlessResponsesTogether(t *testing.T) {
	const (
		calls       = 200
		endlessOf   = 3 // one call of this many is at an endpoint that never ends
		soundBytes  = 800
		maxHeapMore = 64 << 20
	)
	sound := site.ResponseHead("r1") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", soundBytes, strings.Repeat("s", soundBytes))
	soundAddr := serveRaw(t, func(conn net.Conn) { _, _ = conn.Write([]byte(sound)) }) // the call reports a failure
	endlessAddr := serveRaw(t, func(conn net.Conn) {
		text := endless["length of 12 digits"]
		if _, err := conn.Write([]byte(text[0])); err == nil {
			repeatWrites(conn, text[1])
		}
	})
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	p := &pool.Pool{}
	var wg sync.WaitGroup
	var served, overBudget atomic.Int64
	for i := range calls {
		wg.Go(func() {
			deadline := time.Now().Add(time.Minute)
			if i%endlessOf == 0 {
				if _, err := exchange(p, endlessAddr, deadline); errors.Is(err, budget.ErrOver) {
					overBudget.Add(1)
				}
				return
			}
			n, err := exchange(p, soundAddr, deadline)
			for errors.Is(err, pool.ErrUnreachable) { // a busy machine accepts late; nothing was sent
				n, err = exchange(p, soundAddr, deadline)
			}
			if err == nil && n == soundBytes {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	close(stop)
	<-watched
	if want := int64(calls - (calls+endlessOf-1)/endlessOf); served.Load() != want {
		t.Errorf("%d sound calls were answered, want %d", served.Load(), want)
	}
	if overBudget.Load() == 0 {
		t.Error("no response was given up for the others")
	}
	if more := int64(peak.Load()) - int64(before.HeapAlloc); more > maxHeapMore {
		t.Errorf("the heap grew by %d MB, want at most %d", more>>20, maxHeapMore>>20)
	}
	if n := p.Budget.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// TestSingleBytes guards against a stalled response that never ends because its
// endpoint sends a byte now and then: bytes don't extend the deadline.
func TestSingleBytes(t *testing.T) {
	for name, head := range map[string]string{"header": "HTTP/1.1 200 OK\r\nX-A: ", "body": site.ResponseHead("r1") + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			addr := serveRaw(t, func(conn net.Conn) {
				for _, err := conn.Write([]byte(head)); err == nil; time.Sleep(5 * time.Millisecond) {
					_, err = conn.Write([]byte("x"))
				}
			})
			start := time.Now()
			if _, err := exchange(&pool.Pool{}, addr, start.Add(100*time.Millisecond)); err == nil || time.Since(start) > 2*time.Second {
				t.Errorf("ended after %v with error %v, want one at the deadline of 100 ms", time.Since(start), err)
			}
		})
	}
}
