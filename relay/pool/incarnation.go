package pool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/body"
	plat "wigeonplank.example/platform"
)

// reportTimeout bounds the wait for an endpoint's report, which comes within a few
// milliseconds unless the processor of the endpoint is short.
const reportTimeout = time.Second

// ErrMisdirected reports that another endpoint uses the address.
var ErrMisdirected = errors.New("another endpoint has the address")

// errClosing reports an endpoint that ends the connection with its report.
var errClosing = errors.New("endpoint closes the connection after its report")

// Incarnation returns when the incarnation of the endpoint started to which the connection
// leads, in ms since 1970. It is 0 if the endpoint wasn't asked or doesn't tell.
func (c *Conn) Incarnation() int64 { return c.incarnation }

// GetAsked is Get for requests, on a connection whose endpoint was asked once for its
// incarnation. It blocks for another second at most for each connection on which the
// endpoint doesn't answer, and until deadline.
func (p *Pool) GetAsked(ctx context.Context, id, addr string, deadline time.Time) (*Conn, error) {
	for forceNew := false; ; forceNew = true {
		c, err := p.Get(ctx, KindRequest, id, addr, forceNew)
		if err != nil || c.asked {
			return c, err
		}
		start, final, err := c.ask(ctx, deadline)
		if err == nil {
			c.asked, c.incarnation = final, start
			return c, nil
		}
		_ = c.Close() // an error doesn't matter: it isn't used again
		switch {
		case errors.Is(err, errClosing):
			if c, err = p.Get(ctx, KindRequest, id, addr, true); err == nil {
				c.asked = true
			}
			return c, err
		case !c.Reused || errors.Is(err, ErrMisdirected):
			return nil, fmt.Errorf("ask endpoint for its incarnation: %w", err)
		}
	}
}

// Ask asks an endpoint over a new connection for its incarnation. The result is 0 if the
// endpoint doesn't tell.
func (p *Pool) Ask(ctx context.Context, id, addr string, deadline time.Time) (int64, error) {
	c, err := p.Get(ctx, KindRequest, id, addr, true)
	if err != nil {
		return 0, err
	}
	start, final, err := c.ask(ctx, deadline)
	if err != nil {
		_ = c.Close() // an error doesn't matter: it isn't used again
		if errors.Is(err, errClosing) {
			return 0, nil
		}
		return 0, fmt.Errorf("ask endpoint for its incarnation: %w", err)
	}
	c.asked, c.incarnation = final, start
	p.Put(c, 0)
	return start, nil
}

// ask asks the endpoint for its incarnation. The result is 0 if the endpoint doesn't tell;
// final reports whether it wouldn't if it were asked again.
func (c *Conn) ask(ctx context.Context, deadline time.Time) (start int64, final bool, err error) {
	if t := time.Now().Add(reportTimeout); t.Before(deadline) {
		deadline = t
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	call := &Call{Conn: c}
	defer call.release()
	if _, err := call.Send(plat.AppendReportCall(nil, c.key.addr, c.key.id), nil, deadline); err != nil {
		return 0, false, err
	}
	if err := call.receiveReport(deadline); err != nil {
		return 0, false, err
	}
	raw, err := body.Collect(call, plat.MaxReportBytes, call.Grow)
	switch {
	case err != nil:
		return 0, false, fmt.Errorf("read report: %w", err)
	case call.Response.Misdirected:
		return 0, false, ErrMisdirected
	case c.Reader.Buffered() > 0:
		return 0, false, fmt.Errorf("%w: bytes after the report", ErrResponse)
	case call.Response.Close:
		return 0, false, errClosing
	case call.Response.Status != fasthttp.StatusOK:
		return 0, call.Response.Status < fasthttp.StatusInternalServerError, nil // it may be full now
	}
	c.report = xxhash.Sum64(raw)
	start, final = plat.DecodeReport(raw)
	return start, final, nil
}

// isReportCopy reads a response that names no request, and reports whether it is a second
// copy of the endpoint's report.
func (c *Call) isReportCopy() bool {
	if c.Conn.report == 0 || c.Response.Status != fasthttp.StatusOK || c.Response.Stamped {
		return false
	}
	raw, err := body.Collect(c, plat.MaxReportBytes, c.Grow)
	return err == nil && xxhash.Sum64(raw) == c.Conn.report
}

// receiveReport reads the header of a report. It skips late responses to requests, which
// name them.
func (c *Call) receiveReport(deadline time.Time) error {
	for range maxResponseHeads {
		if err := c.Receive("", deadline); err != nil {
			return err
		}
		if c.Response.ID == "" {
			return nil
		}
		c.Conn.surplus = true
		if err := c.skipBody(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: answers of other requests", ErrResponse)
}
