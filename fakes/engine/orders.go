package engine

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/fault"
)

type engineState struct {
	Model   string `json:"model"`
	Loading string `json:"loading"`
	Fence   uint64 `json:"fence"`
}

func (s *Server) readOrders(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.JSON(ctx, fasthttp.StatusOK, engineState{Model: s.model, Loading: s.loading, Fence: s.fence})
}

// order takes an order. An engine that checks fences refuses one that isn't
// above the newest; the others do what they were told last.
func (s *Server) order(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !s.accept(o) {
		ctx.Error("old fencing number", fasthttp.StatusConflict)
		return
	}
	status, after := s.fetch(o.Model)
	if status >= fasthttp.StatusMultipleChoices {
		ctx.Response.Header.Set("Retry-After", after)
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	s.load(o.Model)
}

func (s *Server) accept(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Taken = !s.opts.Fences || o.Fence > s.fence
	s.orders = append(s.orders, o)
	if o.Taken {
		s.fence = max(s.fence, o.Fence)
	}
	return o.Taken
}

// fetch asks the weight store for a model.
func (s *Server) fetch(model string) (status int, retryAfter string) {
	if s.opts.Store == "" {
		return fasthttp.StatusOK, ""
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.opts.Store + "/v1/weights/" + model)
	if err := s.client.DoTimeout(req, resp, time.Second); err != nil {
		return fasthttp.StatusServiceUnavailable, "1"
	}
	return resp.StatusCode(), string(resp.Header.Peek("Retry-After"))
}

func (s *Server) load(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model == model && s.loading == "" {
		return
	}
	s.model = ""
	s.loading = model
	time.AfterFunc(time.Duration(s.opts.LoadMS)*time.Millisecond, func() { s.loaded(model) })
}

func (s *Server) loaded(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading != model {
		return // another order came since
	}
	s.model = model
	s.loading = ""
	s.meter.Chill()
}
