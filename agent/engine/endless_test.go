package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/conf"
)

// endless holds responses without end: the begin, and what is repeated.
var endless = map[string][2]string{
	"no framing":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 64<<10)},
	"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
	"length, no body":   {"HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", ""},
	"length of 9e10":    {"HTTP/1.1 200 OK\r\nContent-Length: 90000000000\r\n\r\n", strings.Repeat("x", 64<<10)},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"head":              {"HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("x", 1024) + "\r\n"},
	"tokens":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "20\r\n" + `data: {"index":0,"text":"abcdef"}` + "\r\n2\r\n\n\n\r\n"},
}

// serveEndless answers each request with a response of endless, until the client closes. A
// response that repeats nothing ends there.
func serveEndless(t *testing.T, response [2]string) string {
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
				var req fasthttp.Request
				_ = req.Read(bufio.NewReader(conn)) // the response is the same whatever was requested
				_, err := conn.Write([]byte(response[0]))
				for err == nil && response[1] != "" {
					_, err = conn.Write([]byte(response[1]))
				}
				if response[1] == "" {
					_, _ = conn.Read(make([]byte, 1)) // until the client closes
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// watchHeap measures by how many bytes the heap grows until the returned function is called.
func watchHeap() func() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, most := m.HeapAlloc, m.HeapAlloc
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(stop)
		<-stopped
		return int64(most - before)
	}
}

// TestEndlessResponses guards against an endpoint that uses up its agent's memory, and so ends all
// other jobs, by bytes without end or by the length that it names.
func TestEndlessResponses(t *testing.T) {
	const (
		calls   = 8        // at once
		maxMore = 64 << 20 // bytes by which they let the heap grow
	)
	body, err := json.Marshal(StageInput{Input: "a"})
	if err != nil {
		t.Fatal(err)
	}
	job := func(kind conf.StageKind) func(c *Client) error {
		return func(c *Client) error {
			out := c.Do(Call{RequestID: "1", Stage: &conf.Stage{Kind: kind, Path: "/p", Model: &conf.Model{Name: "m"}, MaxTokens: 8}, Body: body, Timeout: time.Second}, func([]byte) {})
			if out.Failure == "" {
				return nil
			}
			return fmt.Errorf("call: %s", out.Failure)
		}
	}
	for name, call := range map[string]func(c *Client) error{
		"load":       func(c *Client) error { _, err := c.ReadLoad(); return err },
		"placement":  func(c *Client) error { _, err := c.ReadEngine(); return err },
		"order":      func(c *Client) error { return c.SendOrder(Order{Fence: 1, Model: "m"}) },
		"cancel":     func(c *Client) error { return c.Cancel("1") },
		"job":        job(conf.KindService),
		"generation": job(conf.KindGeneration),
	} {
		for kind, response := range endless {
			t.Run(name+", "+kind, func(t *testing.T) {
				c := NewClient(serveEndless(t, response))
				growth := watchHeap()
				var wg sync.WaitGroup
				for range calls {
					wg.Go(func() {
						if call(c) == nil {
							t.Error("a response without end was accepted")
						}
					})
				}
				wg.Wait()
				if n := growth(); n > maxMore {
					t.Errorf("the heap grew by %d MB, want at most %d", n>>20, maxMore>>20)
				}
				if n := c.Budget.Used(); n != 0 {
					t.Errorf("%d bytes are still reserved", n)
				}
			})
		}
	}
}

// TestEndlessGeneration guards against a generation that is passed on beyond the tokens that its
// stage allows.
func TestEndlessGeneration(t *testing.T) {
	var stream strings.Builder
	for i := range 100 {
		stream.WriteString(event(fmt.Sprint(i), "a"))
	}
	text, n, out, complete := read(stream.String()+doneLine, 0)
	if n != testMaxTokens || text != strings.Repeat("a", testMaxTokens) || complete || out.Failure == "" {
		t.Errorf("got %d tokens, complete %v, failure %q; want %d tokens and a failure", n, complete, out.Failure, testMaxTokens)
	}
}
