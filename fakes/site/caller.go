package site

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Call is a request as a caller of the platform sends it.
type Call struct {
	ID       string // of the attempt
	Key      string // empty: none
	Deadline time.Duration
	Last     string   // last event that the caller has; empty: none
	Prompt   []string // parts of its prompt, ID:TOKENS; none: the request has no prompt
	Items    string   // number of items of each stage, with commas; empty: not said
	ItemKey  string
}

// Tokens that a caller says its prompt and the answer have.
const callTokens = "100,8"

// Fill sets the headers of the call.
func (c Call) Fill(h *fasthttp.RequestHeader) {
	h.Set("X-Attempt-Id", c.ID)
	h.Set("X-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.Key != "" {
		h.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Last != "" {
		h.Set("Last-Event-Id", c.Last)
	}
	if len(c.Prompt) > 0 {
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", callTokens)
		h.Set("X-Prefix-Hash", strings.Join(c.Prompt, ","))
	}
	if c.Items != "" {
		h.Set("X-Segments", c.Items)
		h.Set("X-Segment-Key", c.ItemKey)
	}
}

// Signed reports whether an answer bears an endpoint's signature.
func Signed(h *fasthttp.ResponseHeader) bool { return len(h.Peek("X-Server-Stamp")) > 0 }

// AnswerHead returns the first lines of an endpoint's answer to an attempt,
// without the empty line that ends them.
func AnswerHead(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: s\r\n"
}

// Drain takes a zone out.
func (s *Site) Drain(zone string) { s.Store.Put("op/evacuate/"+zone, []byte("{}")) }

// Return takes a zone back.
func (s *Site) Return(zone string) { s.Store.Delete("op/evacuate/" + zone) }

// Remove removes the entry of an endpoint.
func (s *Site) Remove(id string) { s.Store.Delete("servers/" + id) }
