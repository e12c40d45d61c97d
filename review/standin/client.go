package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is how a client's attempt ended.
type outcome struct {
	status int    // 0: the connection ended without an answer
	whole  bool   // the body is complete
	reason string // without a whole answer
	kept   bool   // the connection had carried a request before
}

func get(addr, path string) (int, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// client is a client with one connection, which it keeps open.
type client struct {
	site  *site
	relay *relay
	conn  net.Conn
	br    *bufio.Reader
	used  int
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// send sends a new request of a route with a body of so many bytes, and reads the answer.
func (c *client) send(rt *route, bodyBytes int) (string, outcome) {
	s := c.site
	id := fmt.Sprintf("%016x", rand.Uint64())
	r := rand.New(rand.NewPCG(rand.Uint64(), 1))
	req := &request{id: id, route: rt, key: fmt.Sprintf("%012x", rand.Uint64()>>16)}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", rt.method, rt.Prefix, r.IntN(256), rt.Host, id, rt.TimeoutMs, apiKey)
	events := 0
	if rt.Type == "streaming" {
		events = rt.events(r)
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Count: %d,%d\r\nX-Prefix-Hash: %08x:800,%08x:410\r\n", 1210, 4*events, r.IntN(8), r.Uint32())
		if rt.items != nil {
			req.items = rt.items(r)
			fmt.Fprintf(&b, "X-Segments: %s\r\nX-Segment-Key: %s\r\n", strings.Trim(strings.ReplaceAll(fmt.Sprint(req.items), " ", ","), "[]"), req.key)
		}
	}
	if rt.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", bodyBytes)
	}
	b.WriteString("\r\n")
	if rt.method == "POST" {
		b.Write(make([]byte, bodyBytes))
	}
	s.mu.Lock()
	s.requests[id] = req
	s.mu.Unlock()
	o := c.exchange(b.Bytes(), req, events)
	s.logf("client: %s %s at %s: status %d, whole %v %s", rt.Name, id, c.relay.name, o.status, o.whole, o.reason)
	return id, o
}

func (c *client) exchange(raw []byte, req *request, events int) (o outcome) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.relay.frontend(), time.Second)
		if err != nil {
			return outcome{reason: err.Error()}
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), 0
	}
	o.kept = c.used > 0
	c.used++
	keep := false
	defer func() {
		if !keep {
			c.close()
		}
	}()
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(req.route.TimeoutMs)*time.Millisecond + time.Second))
	c.site.logf("client: sends %s %s to %s", req.route.Name, req.id, c.relay.name)
	if _, err := c.conn.Write(raw); err != nil {
		o.reason = err.Error()
		return o
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		o.reason = err.Error()
		return o
	}
	o.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.reason = err.Error()
		return o
	}
	o.whole = true
	keep = !resp.Close
	if o.status == http.StatusOK {
		c.checkAnswer(resp, body, req, events)
	}
	return o
}

// checkAnswer checks that a success is the server's whole answer to the request.
func (c *client) checkAnswer(resp *http.Response, body []byte, req *request, events int) {
	want := responseBody(req.id)
	if req.route.Type == "streaming" {
		var b bytes.Buffer
		for i := range events {
			b.WriteString(eventText(req.id, i))
		}
		want = b.Bytes()
	}
	if resp.Header.Get("X-Attempt-Id") != req.id || resp.Header.Get("X-Server-Stamp") != stamp(req.id) || !bytes.Equal(body, want) {
		c.site.breakf("MIXED: the client of %s gets another answer: id %q, %d bytes, want %d", req.id, resp.Header.Get("X-Attempt-Id"), len(body), len(want))
	}
}

// traffic sends the requests of all routes at x times their rates for so long, each on a
// connection of its own, to a relay chosen at random.
func (s *site) traffic(d time.Duration, x float64) *sync.WaitGroup {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, rt := range s.config.Routes {
		if rt.perS == 0 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() / (rt.perS * x) * float64(time.Second)))
				wg.Add(1)
				go func() {
					defer wg.Done()
					c := &client{site: s, relay: s.relays[rand.IntN(len(s.relays))]}
					defer c.close()
					c.send(rt, rt.body)
				}()
			}
		}()
	}
	return &wg
}
