package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, host, path, body string
	headers                      []string // without a line end
	deadline                     time.Duration
}

// answer is what a client got.
type answer struct {
	status  int // 0: none
	body    string
	header  http.Header
	whole   bool
	firstAt time.Duration // first byte of the body; 0: none
	took    time.Duration
	err     error
}

// client keeps connections to relays open.
type client struct {
	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	r *bufio.Reader
}

func (c *client) get(addr string) (*clientConn, error) {
	c.mu.Lock()
	list := c.idle[addr]
	if n := len(list); n > 0 {
		conn := list[n-1]
		c.idle[addr] = list[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, r: bufio.NewReader(raw)}, nil
}

func (c *client) put(addr string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*clientConn)
	}
	c.idle[addr] = append(c.idle[addr], conn)
}

// do sends a request to a relay and reads its answer.
func (c *client) do(addr string, r request) answer {
	begun := time.Now()
	conn, err := c.get(addr)
	if err != nil {
		return answer{err: err}
	}
	_ = conn.SetDeadline(begun.Add(r.deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	if r.method != http.MethodGet || r.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		_ = conn.Close()
		return answer{err: err, took: time.Since(begun)}
	}
	resp, err := http.ReadResponse(conn.r, &http.Request{Method: r.method})
	if err != nil {
		_ = conn.Close()
		return answer{err: err, took: time.Since(begun)}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && a.firstAt == 0 {
			a.firstAt = time.Since(begun)
		}
		body.Write(buf[:n])
		if err != nil {
			a.whole = err == io.EOF
			a.err = err
			break
		}
	}
	a.body, a.took = body.String(), time.Since(begun)
	if a.whole && !resp.Close {
		c.put(addr, conn)
	} else {
		_ = conn.Close()
	}
	return a
}
