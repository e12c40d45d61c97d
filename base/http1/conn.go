package http1

import (
	"bufio"
	"bytes"
	"math"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const readBufferBytes = 8 << 10

// Conn is a client's connection that checks the responses on it before it passes them on, up to the
// first line that isn't one of a response. It is for clients of a library that reads responses
// more leniently, and that writes a request whole before it reads the response.
type Conn struct {
	net.Conn
	br *bufio.Reader

	ready    int64 // bytes that were checked and not passed on yet
	body     bodyKind
	chunks   chunks
	headOnly bool // the request was HEAD
	reading  bool // something was read since the last write
}

// bodyKind is how the body that is read ends.
type bodyKind string

const (
	bodyNone    bodyKind = "" // there is none, or it is complete: a head follows
	bodyChunked bodyKind = "chunked"
	bodyToEnd   bodyKind = "to_end" // with the connection
)

// NewConn returns a connection that checks the responses on c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, br: bufio.NewReaderSize(c, readBufferBytes), reading: true}
}

// Dial dials a TCP address for a client of fasthttp, which passes a timeout of 0 for none.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	c, err := fasthttp.DialTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.reading { // a request begins
		c.reading, c.ready, c.body = false, 0, bodyNone
		c.headOnly = bytes.HasPrefix(p, []byte("HEAD "))
		if c.br.Buffered() > 0 {
			return 0, malformed("%d bytes that no request asked for", c.br.Buffered())
		}
	}
	return c.Conn.Write(p)
}

// Read reads checked bytes.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading = true
	for c.ready == 0 {
		if err := c.check(); err != nil {
			return 0, err
		}
	}
	n, err := c.br.Read(p[:min(int64(len(p)), c.ready)])
	c.ready -= int64(n)
	return n, err
}

// check checks the next line or head. Bytes of bodies are passed on as they are.
func (c *Conn) check() error {
	switch {
	case c.body == bodyToEnd:
		c.ready = math.MaxInt64
		return nil
	case c.body == bodyChunked && c.chunks.part == partData:
		c.ready = c.chunks.left
		c.chunks.advance(int(c.ready))
		return nil
	case c.body == bodyChunked:
		n, err := c.chunks.peekFrame(c.br)
		if err != nil {
			return err
		}
		c.ready = int64(n)
		if c.chunks.part == partNone {
			c.body = bodyNone
		}
		return nil
	}
	h, err := PeekHead(c.br)
	if err != nil {
		return err
	}
	c.ready = int64(h.Size)
	switch {
	case h.hasNoBody(), c.headOnly:
	case h.Chunked:
		c.body, c.chunks = bodyChunked, chunks{}
	case h.Length >= 0:
		c.ready += h.Length
	default:
		c.body = bodyToEnd
	}
	return nil
}
