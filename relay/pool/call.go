package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	plat "wigeonplank.example/platform"
)

// ErrBody says that an answer's body is not whole.
var ErrBody = errors.New("answer is not whole")

const (
	maxAnswerBytes = 16 << 20
	maxStray       = 4        // answers of earlier requests that are passed over
	writeAside     = 16 << 10 // larger requests are written beside the reading of the answer
)

// Call is one request on a connection. Use it from one goroutine.
type Call struct {
	Conn   *Conn
	Head   fasthttp.ResponseHeader
	Answer plat.Answer

	written chan error // of a request that is written aside
	body    io.Reader
	chunks  bool
	whole   bool
}

// Send writes a request. wrote says whether any byte may have left: if not, the
// endpoint can't have run it.
func (c *Call) Send(head, body []byte, deadline time.Time) (wrote bool, err error) {
	_ = c.Conn.SetDeadline(deadline) // fails only on a closed connection
	if len(head)+len(body) > writeAside {
		c.written = make(chan error, 1)
		go func() {
			_, err := c.Conn.Write(append(head, body...))
			c.written <- err
		}()
		return true, nil
	}
	n, err := c.Conn.Write(append(head, body...))
	if err != nil {
		return n > 0, fmt.Errorf("write to endpoint: %w", err)
	}
	return true, nil
}

// Receive reads the head of the answer to the attempt of an id, and passes over
// late answers to others. It blocks until deadline.
func (c *Call) Receive(id string, deadline time.Time) error {
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
	for range maxStray {
		c.Head.Reset()
		if err := c.Head.Read(c.Conn.R); err != nil {
			return fmt.Errorf("read head of answer: %w", err)
		}
		c.Answer = plat.ReadAnswer(&c.Head)
		c.open()
		if c.Answer.Status < fasthttp.StatusOK {
			continue
		}
		if id == "" || c.Answer.ID == id || (c.Answer.ID == "" && c.Answer.NotRun) {
			return nil
		}
		if c.Answer.ID == "" {
			return fmt.Errorf("%w: status %d without an id", ErrBody, c.Answer.Status)
		}
		if _, err := c.ReadAll(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: answers of other requests", ErrBody)
}

func (c *Call) open() {
	c.whole, c.chunks = false, false
	n := c.Head.ContentLength()
	switch {
	case c.Answer.Status < fasthttp.StatusOK, c.Answer.Status == fasthttp.StatusNoContent, c.Answer.Status == fasthttp.StatusNotModified:
		c.body = &io.LimitedReader{R: c.Conn.R}
	case n >= 0:
		c.body = &io.LimitedReader{R: c.Conn.R, N: int64(n)}
	case n == -1:
		c.chunks = true
		c.body = httputil.NewChunkedReader(c.Conn.R)
	default:
		c.Answer.Close = true
		c.body = c.Conn.R
	}
}

// Read reads from the body. It returns io.EOF only if the body is whole.
func (c *Call) Read(b []byte) (int, error) {
	if c.whole {
		return 0, io.EOF
	}
	n, err := c.body.Read(b)
	if n > 0 || err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return 0, fmt.Errorf("%w: %w", ErrBody, err)
	}
	if l, ok := c.body.(*io.LimitedReader); ok && l.N > 0 {
		return 0, fmt.Errorf("%w: %d bytes are missing", ErrBody, l.N)
	}
	if c.chunks {
		if err := c.trailer(); err != nil {
			return 0, err
		}
	}
	c.whole = true
	return 0, io.EOF
}

// trailer reads the lines that end a chunked body.
func (c *Call) trailer() error {
	for {
		line, err := c.Conn.R.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBody, err)
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}

// ReadAll reads the whole body.
func (c *Call) ReadAll() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxAnswerBytes {
		return nil, fmt.Errorf("%w: larger than %d bytes", ErrBody, maxAnswerBytes)
	}
	return b, nil
}

// Finish gives the connection back if it can be used again, and closes it
// otherwise.
func (c *Call) Finish(p *Pool) {
	if !c.whole || c.Answer.Close || !c.allWritten() {
		_ = c.Conn.Close() // it is of no use any more
		return
	}
	p.Put(c.Conn, c.Answer.KeepAlive)
}

// allWritten reports whether the endpoint got all of the request: what comes
// next on the connection would otherwise be taken for the rest of it.
func (c *Call) allWritten() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}
