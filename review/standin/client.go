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
	return c.attempt(rt, bodyBytes, &stream{}, time.Duration(rt.TimeoutMs)*time.Millisecond)
}

// stream is what a client has of a stream, over its attempts.
type stream struct {
	begunBy  string // attempt that brought the first event
	events   int    // of the whole stream
	next     int    // number of the next event
	versions map[string]bool
	prompt   string
}

// attempt makes one attempt at a request. If some events of the stream have come before,
// it takes the stream up.
func (c *client) attempt(rt *route, bodyBytes int, st *stream, left time.Duration) (string, outcome) {
	s := c.site
	id := fmt.Sprintf("%016x", rand.Uint64())
	r := rand.New(rand.NewPCG(rand.Uint64(), 1))
	req := &request{id: id, route: rt, key: fmt.Sprintf("%012x", rand.Uint64()>>16)}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", rt.method, rt.Prefix, r.IntN(256), rt.Host, id, left.Milliseconds(), apiKey)
	if rt.Type == "streaming" {
		if st.events == 0 {
			st.events, st.prompt = rt.events(r), fmt.Sprintf("%08x:800,%08x:410", r.IntN(8), r.Uint32())
		}
		if st.next > 0 {
			fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", st.next-1, st.begunBy)
		}
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Count: %d,%d\r\nX-Prefix-Hash: %s\r\n", 1210, 4*st.events, st.prompt)
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
	o := c.exchange(b.Bytes(), req, st, left)
	s.logf("client: %s %s at %s: status %d, whole %v %s", rt.Name, id, c.relay.name, o.status, o.whole, o.reason)
	return id, o
}

func (c *client) exchange(raw []byte, req *request, st *stream, left time.Duration) (o outcome) {
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
	_ = c.conn.SetDeadline(time.Now().Add(left + time.Second))
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
	keep = !resp.Close
	if o.status == http.StatusOK && (resp.Header.Get("X-Attempt-Id") != req.id || resp.Header.Get("X-Server-Stamp") != stamp(req.id)) {
		c.site.breakf("MIXED: the client of %s gets the answer of %q", req.id, resp.Header.Get("X-Attempt-Id"))
	}
	if o.status == http.StatusOK && req.route.Type == "streaming" {
		err = c.readEvents(resp.Body, req, st)
	} else {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		if err == nil && o.status == http.StatusOK && !bytes.Equal(body, responseBody(req.id)) {
			c.site.breakf("MIXED: the client of %s gets another body, of %d bytes", req.id, len(body))
		}
	}
	o.whole = err == nil
	if err != nil {
		o.reason, keep = err.Error(), false
	}
	return o
}

// readEvents reads the events of a stream up to its end.
func (c *client) readEvents(body io.Reader, req *request, st *stream) error {
	br := bufio.NewReader(body)
	for {
		var id int
		var version string
		line, err := br.ReadString('\n')
		if err == io.EOF && line == "" {
			if st.next < st.events {
				c.site.breakf("ORDER: the stream of %s ends as complete after %d of %d events", req.id, st.next, st.events)
			}
			return nil
		}
		if err != nil {
			return err
		}
		_, _ = fmt.Sscanf(line, "id: %d", &id)
		if line, err = br.ReadString('\n'); err != nil {
			return err
		}
		_, _ = fmt.Sscanf(line, "data: %s", &version)
		if _, err = br.ReadString('\n'); err != nil {
			return err
		}
		if id != st.next {
			c.site.breakf("ORDER: event %d comes after %d events in the stream of %s", id, st.next, req.id)
		}
		if st.next == 0 {
			st.begunBy, st.versions = req.id, make(map[string]bool)
		}
		st.next++
		if st.versions[version] = true; len(st.versions) > 1 && c.site.mix(req.id) {
			c.site.logf("the stream of %s, which began with attempt %s, holds events of two versions: event %d is of %s", req.id, st.begunBy, id, version)
		}
	}
}

// traffic sends the requests of all routes at their rates for so long, each on a
// connection of its own, to a relay chosen at random.
func (s *site) traffic(d time.Duration) *sync.WaitGroup {
	return s.trafficOf(d, func(*route) bool { return true })
}

// trafficOf is traffic for some of the routes.
func (s *site) trafficOf(d time.Duration, of func(*route) bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, rt := range s.config.Routes {
		if !of(rt) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() / rt.perS * float64(time.Second)))
				wg.Add(1)
				go func() {
					defer wg.Done()
					c := &client{site: s, relay: s.relays[rand.IntN(len(s.relays))]}
					defer c.close()
					st, began := &stream{}, time.Now()
					for range 2 { // a retry, where the client may make one
						left := time.Duration(rt.TimeoutMs)*time.Millisecond - time.Since(began)
						_, o := c.attempt(rt, rt.body, st, left)
						if o.whole || rt.Type == "non_idempotent" || (st.next > 0 && !rt.Resumable) {
							break
						}
						c.close()
						c.relay = s.relays[rand.IntN(len(s.relays))]
					}
				}()
			}
		}()
	}
	return &wg
}
