package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Word returns the word that an answer to a prompt is made of. It depends on
// the prompt's first line, the caller's input; a document of another request
// among the lines after it shows as "mixed".
func Word(prompt string) string {
	input, docs, _ := strings.Cut(prompt, "\n")
	word := WordOf(input)
	for d := range strings.SplitSeq(docs, "\n") {
		if d != "" && !strings.Contains(d, word) {
			return "mixed"
		}
	}
	return word
}

// WordOf returns the word for an input.
func WordOf(input string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(input)))
}

// Text returns the whole answer to an input of so many tokens.
func Text(input string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%s-%d ", WordOf(input), i)
	}
	return b.String()
}

type tokenEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

func (s *Server) stream(ctx *fasthttp.RequestCtx, r *run, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.follow(w, r, from) })
}

// follow writes tokens until the run ends, the reader goes, or a fault breaks
// the stream. A stream that ends without the mark is broken.
func (s *Server) follow(w *bufio.Writer, r *run, next int) {
	for {
		text, ended, wait := r.token(next)
		switch {
		case wait != nil:
			<-wait
			continue
		case ended:
			_, _ = w.WriteString("data: [DONE]\n\n")
			_ = w.Flush()
			return
		case text == "":
			return // cancelled
		}
		if s.breakHere(r, next) {
			return
		}
		if err := s.writeToken(w, tokenEvent{Index: next, Text: text}); err != nil {
			return
		}
		next++
	}
}

// token returns the text of a token, or whether the run ended before it, or a
// channel to wait on.
func (r *run) token(i int) (text string, ended bool, wait <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i < len(r.offsets) {
		from := 0
		if i > 0 {
			from = r.offsets[i-1]
		}
		return string(r.out.Bytes()[from:r.offsets[i]]), false, nil
	}
	_, end, more := r.out.Next(r.out.Len(), 1)
	if end != nil {
		return "", *end == "", nil
	}
	return "", false, more
}

func (s *Server) breakHere(r *run, i int) bool {
	n := s.faults.Get().BreakAfter
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == 0 || i < n || r.broken {
		return false
	}
	r.broken = true
	return true
}

func (s *Server) writeToken(w *bufio.Writer, ev tokenEvent) error {
	raw, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	times := 1
	if s.faults.Get().Double {
		times = 2
	}
	for range times {
		if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
			return err
		}
	}
	return w.Flush()
}

// cached reports whether the prompt's prefix is in the cache and puts it there.
func (s *Server) cached(prompt string) bool {
	if len(prompt) < prefixBytes {
		return false
	}
	p := prompt[:prefixBytes]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cache {
		if c == p {
			return true
		}
	}
	s.cache = append(s.cache, p)
	s.note("stored")
	if len(s.cache) > cachedPrefixes {
		s.cache = s.cache[1:]
		s.note("evicted")
	}
	return false
}

const (
	eventGap  = 7 // every so many events one is lost
	eventHold = 256
)

func (s *Server) note(kind string) {
	seq := 1
	if n := len(s.events); n > 0 {
		seq = s.events[n-1].Seq + 1
	}
	if seq%eventGap == 0 {
		seq++
	}
	s.events = append(s.events, CacheEvent{Seq: seq, Kind: kind, Bytes: prefixBytes})
	if len(s.events) > eventHold {
		s.events = s.events[1:]
	}
}

// cacheEvents returns all events but the newest, which come late.
func (s *Server) cacheEvents(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := json.Marshal(s.events[:max(len(s.events)-1, 0)])
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(raw)
}
