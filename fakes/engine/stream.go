package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// promptHash returns the hash that each token of a completion contains. It is the
// hash of the prompt's first line, the caller's input. The other lines are
// documents; if one of them belongs to another input, promptHash returns "mixed",
// so that checks of the output detect requests that were mixed up.
func promptHash(prompt string) string {
	input, docs, _ := strings.Cut(prompt, "\n")
	hash := InputHash(input)
	for doc := range strings.SplitSeq(docs, "\n") {
		if doc != "" && !strings.Contains(doc, hash) {
			return "mixed"
		}
	}
	return hash
}

// InputHash returns a hash of a caller's input in hexadecimal digits.
func InputHash(input string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(input)))
}

// ExpectedText returns the complete output of a completion of the given number of tokens
// for an input.
func ExpectedText(input string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%s-%d ", InputHash(input), i)
	}
	return b.String()
}

type tokenEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// stream responds with the tokens of a completion from the given index on.
func (s *Server) stream(ctx *fasthttp.RequestCtx, c *completion, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeTokens(w, c, from) })
}

// writeTokens writes tokens until the completion ends, the reader disconnects or
// a fault breaks the stream. Only the stream of a complete output ends with
// [DONE].
func (s *Server) writeTokens(w *bufio.Writer, c *completion, next int) {
	for {
		text, complete, wait := c.token(next)
		switch {
		case wait != nil:
			<-wait
			continue
		case complete:
			_, _ = w.WriteString("data: [DONE]\n\n")
			_ = w.Flush()
			return
		case text == "":
			return // cancelled
		}
		if s.breaksAt(c, next) {
			return
		}
		if err := s.writeToken(w, tokenEvent{Index: next, Text: text}); err != nil {
			return
		}
		next++
	}
}

// token returns the text of a token. If there is no such token yet, it returns a
// channel that is closed when there may be one. If the completion ended before
// the token, it reports whether the output is complete.
func (c *completion) token(i int) (text string, complete bool, wait <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i < len(c.tokenEnds) {
		from := 0
		if i > 0 {
			from = c.tokenEnds[i-1]
		}
		return string(c.out.Bytes()[from:c.tokenEnds[i]]), false, nil
	}
	_, end, more := c.out.Next(c.out.Len(), 1)
	if end != nil {
		return "", *end == "", nil
	}
	return "", false, more
}

// breaksAt reports whether the fault BreakAfter breaks the stream before a token.
// It breaks each completion once.
func (s *Server) breaksAt(c *completion, token int) bool {
	n := s.faults.Get().BreakAfter
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || token < n || c.broken {
		return false
	}
	c.broken = true
	return true
}

func (s *Server) writeToken(w *bufio.Writer, ev tokenEvent) error {
	raw, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	copies := 1
	if s.faults.Get().Double {
		copies = 2
	}
	for range copies {
		if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
			return err
		}
	}
	return w.Flush()
}

// lookupPrefix reports whether the prompt's prefix is cached, and caches it
// otherwise. Prompts shorter than prefixBytes aren't cached. The oldest prefix is
// evicted when the cache is full.
func (s *Server) lookupPrefix(prompt string) bool {
	if len(prompt) < prefixBytes {
		return false
	}
	prefix := prompt[:prefixBytes]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cached := range s.cachedPrefixes {
		if cached == prefix {
			return true
		}
	}
	s.cachedPrefixes = append(s.cachedPrefixes, prefix)
	s.recordCacheEvent("stored")
	if len(s.cachedPrefixes) > maxCachedPrefixes {
		s.cachedPrefixes = s.cachedPrefixes[1:]
		s.recordCacheEvent("evicted")
	}
	return false
}

const (
	lostEventInterval = 7 // one in this number of cache events is lost
	maxCacheEvents    = 256
)

// recordCacheEvent records an event under the next sequence number. It skips every
// multiple of lostEventInterval, as if that event had been lost. The caller holds
// mu.
func (s *Server) recordCacheEvent(kind string) {
	seq := 1
	if n := len(s.cacheEvents); n > 0 {
		seq = s.cacheEvents[n-1].Seq + 1
	}
	if seq%lostEventInterval == 0 {
		seq++
	}
	s.cacheEvents = append(s.cacheEvents, CacheEvent{Seq: seq, Kind: kind, Bytes: prefixBytes})
	if len(s.cacheEvents) > maxCacheEvents {
		s.cacheEvents = s.cacheEvents[1:]
	}
}

// handleCacheEvents responds with all cache events but the newest one, as if
// events were delivered late.
func (s *Server) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := json.Marshal(s.cacheEvents[:max(len(s.cacheEvents)-1, 0)])
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(raw)
}
