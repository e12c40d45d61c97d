// Package fault switches the faults of a stand-in from outside while it runs.
package fault

import (
	"encoding/json"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Switch holds the faults of one stand-in as a value of T. The zero value has
// none. It is safe for concurrent use.
type Switch[T any] struct {
	v atomic.Pointer[T]
}

// Get returns the faults that are on.
func (s *Switch[T]) Get() T {
	if v := s.v.Load(); v != nil {
		return *v
	}
	var none T
	return none
}

// Handle replaces the faults by the JSON object in the request's body.
func (s *Switch[T]) Handle(ctx *fasthttp.RequestCtx) {
	var v T
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.v.Store(&v)
}

// JSON answers a request with v.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
