package site

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Call describes a request that a caller sends through the platform.
type Call struct {
	ID       string
	Key      string // empty: no Authorization header
	Deadline time.Duration
	Last     string   // empty: the stream isn't resumed
	Prompt   []string // each ID:TOKENS; empty: no prompt headers
	Items    string   // comma-separated, one count per stage; empty: no item headers
	ItemKey  string
}

const callTokens = "100,8" // prompt tokens, answer tokens

// Fill sets the platform headers of the call on h.
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

// Signed reports whether a response carries an endpoint's signature.
func Signed(h *fasthttp.ResponseHeader) bool { return len(h.Peek("X-Server-Stamp")) > 0 }

// AnswerHead returns the status line and the signed headers of an endpoint's
// response to an attempt, without the empty line that ends the header block.
func AnswerHead(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: s\r\n"
}

// Drain marks an availability zone as drained in the store.
func (s *Site) Drain(zone string) { s.Store.Put("op/evacuate/"+zone, []byte("{}")) }

// Return ends the drain of an availability zone.
func (s *Site) Return(zone string) { s.Store.Delete("op/evacuate/" + zone) }

// Remove deletes the store entry of an endpoint. The endpoint keeps running.
func (s *Site) Remove(id string) { s.Store.Delete("servers/" + id) }
