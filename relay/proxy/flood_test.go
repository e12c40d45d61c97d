package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/pool"
)

// flood writes blocks of events, which next returns, to each connection until the other end closes it.
func flood(t *testing.T, ended *atomic.Int64, next func(n int) string) string {
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
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				_, err := io.WriteString(conn, site.ResponseHead("r1")+"\r\n")
				for n := 0; err == nil; n++ {
					_, err = io.WriteString(conn, next(n))
				}
				ended.Add(1)
			}()
		}
	}()
	return ln.Addr().String()
}

// liveHeap returns the bytes of the heap that are in use, without garbage.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// watchLiveHeap looks at the heap again and again. The function that it returns ends that, and
// returns the most that was in use.
func watchLiveHeap() func() int64 {
	const interval = 20 * time.Millisecond
	stop, most := make(chan struct{}), make(chan int64)
	go func() {
		n := liveHeap()
		for {
			select {
			case <-stop:
				most <- n
				return
			case <-time.After(interval):
				n = max(n, liveHeap())
			}
		}
	}()
	return sync.OnceValue(func() int64 {
		close(stop)
		return <-most
	})
}

// TestEndlessStreamEndsAtDeadline guards against a stream of regular events or comments without
// end that outlasts the deadline of its request, which is bounded by its route's timeout, that looks
// whole to its caller, that its relay holds in memory, or that uses up its processor.
func TestEndlessStreamEndsAtDeadline(t *testing.T) {
	const (
		blockEvents = 20
		timeout     = 700 * time.Millisecond
		maxHeapMore = 16 << 20
		buffered    = (eventBufferBytes + 8<<10) / len(": x\n\n") // events that have arrived at the deadline
		maxLate     = 5 * time.Second                             // half of the time for one write
	)
	for name, event := range map[string]func(id int) string{
		"no ids":       func(int) string { return "data: x\n\n" },
		"ids in order": func(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) },
		"comments":     func(int) string { return ": x\n\n" },
		"large events": func(int) string { return "data: " + strings.Repeat("x", 4<<10) + "\n\n" },
	} {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/caller reads %v", name, reads), func(t *testing.T) {
				var ended atomic.Int64
				addr := flood(t, &ended, func(n int) string {
					var b strings.Builder
					for i := range blockEvents {
						b.WriteString(event(n*blockEvents + i))
					}
					return b.String()
				})
				e := &fleet.Endpoint{ID: "e", Service: "s", Addr: addr, Slots: 1, State: fleet.StateReady}
				req := newPanicking(t, &fleet.Service{Name: "s"}, e)
				req.Pool = &pool.Pool{}
				req.Incarnations = &life.Ledger{Announce: func() {}, Clock: req.Clock, Log: req.Log}
				req.route = &fleet.Route{Name: "r", Kind: fleet.KindStream, Timeout: timeout, MaxAttempts: 1}
				req.headers.ID, req.headers.LastEventID, req.headers.Deadline = "r1", -1, time.Hour
				handled := make(chan struct{})
				srv := &front.Server{Limits: func() fleet.Limits { return fleet.Limits{} }, Log: req.Log}
				srv.Handle = func(x *front.Exchange) {
					defer close(handled)
					req.exchange, req.startedAt = x, x.StartedAt
					req.setDeadline()
					ctx, cancel := context.WithDeadline(x.Context, req.deadline)
					defer cancel()
					req.forwardStream(ctx)
				}
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = ln.Close() })
				go func() { _ = srv.Serve(ln) }() // returns when ln is closed
				before := liveHeap()
				mostLive := watchLiveHeap()
				c, err := net.Dial("tcp", ln.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				startedAt, events := time.Now(), 0
				if reads {
					r := bufio.NewReader(c)
					var h fasthttp.ResponseHeader
					if err := h.Read(r); err != nil || h.StatusCode() != fasthttp.StatusOK {
						t.Fatalf("status %d, error %v, want 200", h.StatusCode(), err)
					}
					tail := make([]byte, 0, 16)
					buf := make([]byte, 32<<10)
					for {
						k, err := r.Read(buf)
						events += bytes.Count(buf[:k], []byte("\n\n"))
						tail = append(tail, buf[max(0, k-8):k]...)
						tail = tail[max(0, len(tail)-8):]
						if err != nil {
							break
						}
					}
					if strings.HasSuffix(string(tail), "\r\n0\r\n\r\n") {
						t.Error("the stream looks whole")
					}
				}
				<-handled
				if most := int((time.Since(startedAt)+eventBurst)/eventTime) + buffered; events > most {
					t.Errorf("%d events were forwarded, want at most %d", events, most)
				}
				if late := req.Clock.Now().Sub(req.deadline); late < 0 || late > maxLate {
					t.Errorf("ended %v after the deadline, want at it: %s", late, req.outcome)
				}
				if more := mostLive() - before; more > maxHeapMore {
					t.Errorf("the heap grew by %d MB", more>>20)
				}
				for ended.Load() == 0 {
					time.Sleep(time.Millisecond) // the endpoint is still told to go on
				}
			})
		}
	}
}
