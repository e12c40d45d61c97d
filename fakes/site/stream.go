package site

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// stream writes the events after the last that the caller has.
func (s *Server) stream(ctx *fasthttp.RequestCtx, fault Fault) {
	from := 0
	if n, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-Id"))); err == nil {
		from = n + 1
	}
	uri := string(ctx.RequestURI())
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := from; i < s.Events; i++ {
			time.Sleep(s.Work)
			text := event(uri, i)
			if fault == FaultCut && i == from+s.Events/2 {
				// In the middle of an event.
				_, _ = w.WriteString(text[:len(text)/2]) // the caller is gone if this fails
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

// checkInputs returns the status of a refusal if results are missing, or 0.
func (s *Site) checkInputs(list string) int {
	if list == "" {
		return 0
	}
	for ref := range strings.SplitSeq(list, ",") {
		addr, _, _ := strings.Cut(ref, "/")
		s.mu.Lock()
		holder := s.byAddr[addr]
		s.mu.Unlock()
		if holder == nil || !holder.holds(ref) {
			return fasthttp.StatusConflict
		}
	}
	return 0
}

func (s *Server) holds(ref string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.results[ref]
}
