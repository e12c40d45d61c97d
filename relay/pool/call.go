package pool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/body"
	"wigeonplank.example/base/budget"
	"wigeonplank.example/base/http1"
	plat "wigeonplank.example/platform"
)

// ErrResponse reports a response that is incomplete, too large, or not the
// response to the request.
var ErrResponse = errors.New("answer is not whole")

// IsBrokenOff reports whether an error of a Call tells that the endpoint ended the
// connection, rather than a timeout, this process, or the content of the response.
func IsBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

const (
	maxResponseBytes = 16 << 20 // size of the body
	maxLateBytes     = 1 << 20  // size of a late response to another request, which is skipped
	maxResponseHeads = 4        // read for one request, including interim responses and late ones to earlier requests
	asyncWriteBytes  = 16 << 10 // larger requests are written while the response is read
)

// Call is one request on a connection and its response. It must be used from one
// goroutine.
type Call struct {
	Conn     *Conn
	Header   fasthttp.ResponseHeader
	Response plat.Response // values parsed from the header

	written  chan error // result of an asynchronous write; nil if the request was written synchronously
	body     io.Reader
	chunked  bool                // the body is in chunks, with a trailer after the last
	complete bool                // the body has been read to its end
	bodiless bool                // the request was HEAD
	named    bool                // the response is to an attempt with an ID
	accepted bool                // see Accept
	reserved *budget.Reservation // for what is held of the response; nil: none yet
}

// Send writes a request. sent reports whether any byte may have left: if not,
// the endpoint can't have run the request. A request larger than asyncWriteBytes
// is written in the background, since the endpoint may respond before it has
// read all of it.
func (c *Call) Send(head, body []byte, deadline time.Time) (sent bool, err error) {
	_ = c.Conn.SetDeadline(deadline) // fails only on a closed connection
	c.bodiless = bytes.HasPrefix(head, []byte("HEAD "))
	if len(head)+len(body) > asyncWriteBytes {
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

// Receive reads the header of the response to the attempt with the given ID. It
// skips interim responses and late responses to other attempts. With an empty ID
// it accepts any final response. It blocks until deadline at the latest.
func (c *Call) Receive(id string, deadline time.Time) error {
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
	c.named = id != ""
	for range maxResponseHeads {
		if _, err := http1.PeekHead(c.Conn.Reader); err != nil {
			return fmt.Errorf("read head of answer: %w", err)
		}
		c.Header.Reset()
		if err := c.Header.Read(c.Conn.Reader); err != nil {
			return fmt.Errorf("parse head of answer: %w", err)
		}
		c.Response = plat.ReadResponse(&c.Header)
		c.openBody()
		if c.Response.Status < fasthttp.StatusOK {
			continue
		}
		if id == "" || c.Response.ID == id || (c.Response.ID == "" && c.Response.NotRun) {
			return nil
		}
		c.Conn.surplus = true
		if c.Response.ID == "" {
			if !c.isReportCopy() {
				return fmt.Errorf("%w: status %d without an id", ErrResponse, c.Response.Status)
			}
			continue
		}
		if err := c.skipBody(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: answers of other requests", ErrResponse)
}

// ReceiveUnnamed reads the response to a request without an ID, which it blocks for
// until deadline at the latest. It skips second copies of the earlier responses on the
// connection, which it knows by their bodies. unique tells that the caller accepts only a
// body that no other response has. Without it, a copy of an earlier such response passes,
// and the response itself is skipped as a copy by a call with unique that follows.
func (c *Call) ReceiveUnnamed(unique bool, deadline time.Time) ([]byte, error) {
	for range maxResponseHeads {
		if err := c.Receive("", deadline); err != nil {
			return nil, err
		}
		body, err := c.ReadAll()
		if err != nil {
			return nil, err
		}
		// A connection ends with the first response that isn't a success, so that there are
		// no copies of these.
		if c.Response.Status != fasthttp.StatusOK || !c.isCopy(body, unique) {
			return body, nil
		}
		c.Conn.surplus = true
	}
	return nil, fmt.Errorf("%w: copies of earlier answers", ErrResponse)
}

// isCopy reports whether a body is that of an earlier response on the connection, and
// remembers it if not.
func (c *Call) isCopy(body []byte, unique bool) bool {
	sum := xxhash.Sum64(body)
	known := slices.Contains(c.Conn.alike, sum)
	switch {
	case slices.Contains(c.Conn.unique, sum), known && unique:
		return true
	case unique:
		c.Conn.unique = append(c.Conn.unique, sum)
	case !known:
		c.Conn.alike = append(c.Conn.alike, sum)
	}
	return false
}

// Accept records that the response, which was read to its end, is the one to this request.
// Without it, Finish closes the connection.
func (c *Call) Accept() { c.accepted = true }

// OnOverdue sets what is done when the read deadline of the call passes: overdue, called in
// the goroutine that reads, returns the next read deadline, or false to give the response
// up. It holds until the end of the call.
func (c *Call) OnOverdue(overdue func() (time.Time, bool)) { c.Conn.overdue = overdue }

// IsFramed reports whether the response says where its body ends. Otherwise it ends with its
// connection, whether it is whole or not.
func (c *Call) IsFramed() bool {
	return c.chunked || c.Header.ContentLength() >= 0 || c.hasNoBody()
}

// hasNoBody reports whether the response ends with its head, whatever that says.
func (c *Call) hasNoBody() bool {
	s := c.Response.Status
	return c.bodiless || s < fasthttp.StatusOK || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified
}

// openBody prepares reading the body of the response whose header was read last.
func (c *Call) openBody() {
	c.complete, c.chunked = false, false
	n := c.Header.ContentLength()
	switch {
	case c.hasNoBody():
		c.body = &io.LimitedReader{R: c.Conn.Reader}
	case n >= 0:
		c.body = &io.LimitedReader{R: c.Conn.Reader, N: int64(n)}
	case n == -1:
		c.chunked = true
		c.body = http1.NewChunkedReader(c.Conn.Reader)
	default: // the body ends when the endpoint closes the connection
		c.Response.Close = true
		c.body = c.Conn.Reader
	}
}

// Read reads from the body. It returns io.EOF only once the body is complete.
func (c *Call) Read(b []byte) (int, error) {
	if c.complete {
		return 0, io.EOF
	}
	n, err := c.body.Read(b)
	if n > 0 || err == nil {
		return n, nil
	}
	if c.reserved != nil && c.reserved.Ended() {
		return 0, budget.ErrOver
	}
	if !errors.Is(err, io.EOF) {
		return 0, fmt.Errorf("%w: %w", ErrResponse, err)
	}
	if l, ok := c.body.(*io.LimitedReader); ok && l.N > 0 {
		return 0, fmt.Errorf("%w: %d bytes are missing", ErrResponse, l.N)
	}
	if !c.IsFramed() {
		if err := c.awaitWritten(); err != nil {
			return 0, fmt.Errorf("%w: it ended before the request: %w", ErrResponse, err)
		}
	}
	c.complete = true
	return 0, io.EOF
}

// awaitWritten waits until the whole request is written, and returns the error of the write. If
// the endpoint resets the connection meanwhile, the system tells the write alone, and a read finds
// the end of the connection as after a whole response.
func (c *Call) awaitWritten() error {
	if c.written == nil {
		return nil
	}
	err := <-c.written
	c.written <- err // for requestWritten
	return err
}

// skipBody reads the body of a response to another request.
func (c *Call) skipBody() error {
	n, err := io.Copy(io.Discard, io.LimitReader(c, maxLateBytes+1))
	if err != nil {
		return fmt.Errorf("skip answer to another request: %w", err)
	}
	if n > maxLateBytes {
		return fmt.Errorf("%w: answer to another request is larger than %d bytes", ErrResponse, maxLateBytes)
	}
	return nil
}

// Grow reserves memory for n more bytes of the response. It returns budget.ErrOver if the
// response has to be given up. The memory is released by Finish.
func (c *Call) Grow(n int) error {
	if c.Conn.budget == nil {
		return nil
	}
	if c.reserved == nil {
		c.reserved = c.Conn.budget.Reserve(c.Conn.key.id, func() { _ = c.Conn.Close() }) // ends a blocked read
	}
	return c.reserved.Grow(n)
}

// ReadAll reads the complete body, of at most maxResponseBytes. A length that the
// response names is not trusted: memory is used for what has arrived.
func (c *Call) ReadAll() ([]byte, error) {
	b, err := body.Collect(c, maxResponseBytes, c.Grow)
	var large *body.TooLargeError
	switch {
	case errors.As(err, &large):
		return nil, fmt.Errorf("%w: %w", ErrResponse, err)
	case err != nil:
		return nil, err
	case len(b) == 0 && c.named && !c.IsFramed() && c.Response.Status < fasthttp.StatusMultipleChoices:
		// An endpoint that stopped after the head looks the same. A refusal is told by its head alone.
		return nil, fmt.Errorf("%w: no body: %w", ErrResponse, io.ErrUnexpectedEOF)
	}
	return b, nil
}

// Finish returns the connection to the pool if it can carry another request, and
// closes it otherwise. It must not be called before the response was judged; see Accept.
func (c *Call) Finish(p *Pool) {
	c.release()
	if !c.leavesUsable() || !c.requestWritten() {
		_ = c.Conn.Close() // an error doesn't matter: it isn't used again
		return
	}
	p.Put(c.Conn, c.Response.KeepAlive)
}

// release gives back the memory for what is held of the response.
func (c *Call) release() {
	if c.reserved != nil {
		c.reserved.Release()
	}
}

// leavesUsable reports whether no response to this request can be taken for that of
// another one on the connection, as far as the response tells. A second copy of a not-run
// response, which may lack an ID, could arrive later.
func (c *Call) leavesUsable() bool {
	return c.accepted && c.complete && !c.Response.Close && !c.Response.NotRun && !c.Conn.surplus && len(c.Conn.unique)+len(c.Conn.alike) < maxUnnamedBodies
}

// requestWritten reports whether the whole request was written. If it wasn't, the
// endpoint would take the next request on the connection for the rest of it.
func (c *Call) requestWritten() bool {
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
