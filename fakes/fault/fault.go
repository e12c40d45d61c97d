// Package fault injects faults into a running stand-in over HTTP.
package fault

import (
	"encoding/json"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Switch holds the active faults of one stand-in as a value of T. The zero value
// holds the zero T, which means no faults. It is safe for concurrent use.
type Switch[T any] struct {
	active atomic.Pointer[T]
}

// Get returns the active faults.
func (s *Switch[T]) Get() T {
	if v := s.active.Load(); v != nil {
		return *v
	}
	var none T
	return none
}

// Handle replaces the active faults with the JSON object in the request's body.
func (s *Switch[T]) Handle(ctx *fasthttp.RequestCtx) {
	var v T
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.active.Store(&v)
}

// WriteJSON responds with a status and v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
