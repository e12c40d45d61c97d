package site

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Call describes a request that a caller sends through the platform.
type Call struct {
	AttemptID   string
	APIKey      string // empty: no Authorization header
	Deadline    time.Duration
	LastEventID string   // empty: the stream isn't resumed
	PromptParts []string // each ID:TOKENS; empty: no prompt headers
	ItemCounts  string   // comma-separated, one count per stage; empty: no item headers
	ItemKey     string
}

const callTokens = "100,8" // prompt tokens, answer tokens

// SetHeaders sets the platform headers of the call on h.
func (c Call) SetHeaders(h *fasthttp.RequestHeader) {
	h.Set("X-Attempt-Id", c.AttemptID)
	h.Set("X-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.APIKey != "" {
		h.Set("Authorization", "Bearer "+c.APIKey)
	}
	if c.LastEventID != "" {
		h.Set("Last-Event-Id", c.LastEventID)
	}
	if len(c.PromptParts) > 0 {
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", callTokens)
		h.Set("X-Prefix-Hash", strings.Join(c.PromptParts, ","))
	}
	if c.ItemCounts != "" {
		h.Set("X-Segments", c.ItemCounts)
		h.Set("X-Segment-Key", c.ItemKey)
	}
}

// AppendHead appends the head of a GET request of the call.
func (c Call) AppendHead(dst []byte, uri string) []byte {
	var h fasthttp.RequestHeader
	h.SetRequestURI(uri)
	h.SetHost(StandardHost)
	c.SetHeaders(&h)
	return h.AppendBytes(dst)
}

// TakeUp changes the headers of a call to those of another attempt with the given ID,
// which takes the stream up after the event with the ID last. first is the ID of the
// attempt that brought the first event.
func TakeUp(h *fasthttp.RequestHeader, id, first string, last int) {
	h.Set("X-Attempt-Id", id)
	h.Set("Resumes", first)
	h.Set("Last-Event-Id", strconv.Itoa(last))
}

// Signed reports whether a response carries an endpoint's signature.
func Signed(h *fasthttp.ResponseHeader) bool { return len(h.Peek("X-Server-Stamp")) > 0 }

// ResponseHead returns the status line of an endpoint's response to an attempt and
// the headers with the attempt ID and the signature. The empty line that ends the
// headers is missing, so that the caller can add others.
func ResponseHead(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: s\r\n"
}

// RefusalHead returns the head of a response with a status that says that the endpoint didn't
// run the request, to an attempt; without an ID if it is empty. The empty line that ends the
// headers is missing.
func RefusalHead(status, id string) string {
	head := "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\n"
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	return head
}

// NotRunResponse is a response that says that the endpoint didn't run the request, without
// an attempt ID.
const NotRunResponse = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// DrainZone marks an availability zone as drained in the store.
func (s *Site) DrainZone(zone string) { s.Store.Put("op/evacuate/"+zone, []byte("{}")) }

// RestoreZone ends the drain of an availability zone.
func (s *Site) RestoreZone(zone string) { s.Store.Delete("op/evacuate/" + zone) }

// PutEntry writes a value in place of the store entry of an endpoint.
func (s *Site) PutEntry(id, value string) { s.Store.Put("servers/"+id, []byte(value)) }

// Deregister deletes the store entry of an endpoint. The endpoint keeps running.
func (s *Site) Deregister(id string) { s.Store.Delete("servers/" + id) }
