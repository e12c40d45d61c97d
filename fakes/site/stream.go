package site

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// stream sends the events after the one that Last-Event-Id names, or all events.
func (e *Endpoint) stream(ctx *fasthttp.RequestCtx, fault Fault) {
	from := 0
	if n, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-Id"))); err == nil {
		from = n + 1
	}
	uri := string(ctx.RequestURI())
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := from; i < e.EventCount; i++ {
			time.Sleep(e.WorkTime)
			text := formatEvent(uri, i, e.Version)
			if fault == FaultPause && i == (from+e.EventCount)/2 {
				time.Sleep(pauseTime)
			}
			if fault == FaultTruncated && i == from+e.EventCount/2 {
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
