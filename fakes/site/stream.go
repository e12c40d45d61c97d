package site

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// FaultUnframed sends an event stream with neither a length nor chunks, which ends with its
// connection.
const FaultUnframed Fault = "unframed"

// firstEvent returns the ID of the first event to send: the one after that which Last-Event-Id
// names.
func firstEvent(ctx *fasthttp.RequestCtx) int {
	if n, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-Id"))); err == nil {
		return n + 1
	}
	return 0
}

// unframedStream returns a response without a length and chunks that FaultNoEvents or
// FaultInline breaks off.
func (e *Endpoint) unframedStream(ctx *fasthttp.RequestCtx, id string, fault Fault) string {
	raw := ResponseHead(id) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if fault == FaultNoEvents {
		return raw
	}
	from, count := firstEvent(ctx), e.eventCount(string(ctx.RequestURI()))
	for i := from; i < (from+count)/2; i++ {
		raw += formatEvent(string(ctx.RequestURI()), i, e.Version)
	}
	return raw + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed"
}

// stream sends the events from firstEvent on.
func (e *Endpoint) stream(ctx *fasthttp.RequestCtx, fault Fault) {
	from := firstEvent(ctx)
	uri := string(ctx.RequestURI())
	count := e.eventCount(uri)
	if fault == FaultUnframed {
		e.streamUnframed(ctx, from, count)
		return
	}
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := from; i < count; i++ {
			time.Sleep(e.WorkTime)
			text := formatEvent(uri, i, e.Version)
			if fault == FaultPause && i == (from+count)/2 {
				time.Sleep(e.pauseTime())
			}
			if fault == FaultTruncated && i == from+count/2 {
				// Close the connection in the middle of an event.
				_, _ = w.WriteString(text[:len(text)/2]) // fails only if the caller has disconnected
				_ = w.Flush()
				_ = conn.Close()
				return
			}
			if _, err := w.WriteString(text); err != nil || w.Flush() != nil {
				return
			}
		}
	})
}

func (e *Endpoint) streamUnframed(ctx *fasthttp.RequestCtx, from, count int) {
	uri := string(ctx.RequestURI())
	head := ResponseHead(string(ctx.Request.Header.Peek("X-Attempt-Id"))) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, err := conn.Write([]byte(head))
		for i := from; i < count && err == nil; i++ {
			time.Sleep(e.WorkTime)
			_, err = conn.Write([]byte(formatEvent(uri, i, e.Version)))
		}
	})
}

// checkInputs returns the status with which an endpoint rejects a request for its inputs,
// a comma-separated list of references: 400 if a result was made for another request, 409
// if one is not retained at its endpoint, and 0 otherwise.
func (s *Site) checkInputs(attemptID, refs string) int {
	if refs == "" {
		return 0
	}
	for ref := range strings.SplitSeq(refs, ",") {
		addr, result, _ := strings.Cut(ref, "/")
		s.mu.Lock()
		e := s.endpointsByAddr[addr]
		s.mu.Unlock()
		switch {
		case !strings.HasPrefix(result, attemptID+"-"):
			return fasthttp.StatusBadRequest
		case e == nil || !e.retains(ref):
			return fasthttp.StatusConflict
		}
	}
	return 0
}

func (e *Endpoint) retains(ref string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.results[ref]
}
