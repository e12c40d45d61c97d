package engine

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/fault"
)

const weightStoreTimeout = time.Second

type engineState struct {
	Model   string `json:"model"`
	Loading string `json:"loading"`
	Fence   uint64 `json:"fence"`
}

func (s *Server) handleState(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.WriteJSON(ctx, fasthttp.StatusOK, engineState{Model: s.model, Loading: s.loading, Fence: s.fence})
}

// handleOrder handles an order to load a model. An engine that checks fencing
// numbers rejects an order with 409 unless its number is above the highest one
// accepted; other engines follow every order. If the weight store doesn't supply the
// model, the response is 429, although the order counts as accepted.
func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !s.acceptOrder(o) {
		ctx.Error("old fencing number", fasthttp.StatusConflict)
		return
	}
	status, retryAfter := s.fetchWeights(o.Model)
	if status >= fasthttp.StatusMultipleChoices {
		ctx.Response.Header.Set("Retry-After", retryAfter)
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	s.startLoading(o.Model)
}

// acceptOrder records an order and reports whether its fencing number is
// accepted.
func (s *Server) acceptOrder(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Accepted = !s.opts.ChecksFence || o.Fence > s.fence
	s.orders = append(s.orders, o)
	if o.Accepted {
		s.fence = max(s.fence, o.Fence)
	}
	return o.Accepted
}

// fetchWeights requests a model from the weight store, if there is one. It
// returns 503 if the store doesn't respond.
func (s *Server) fetchWeights(model string) (status int, retryAfter string) {
	if s.opts.WeightStore == "" {
		return fasthttp.StatusOK, ""
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.opts.WeightStore + "/v1/weights/" + model)
	if err := s.client.DoTimeout(req, resp, weightStoreTimeout); err != nil {
		return fasthttp.StatusServiceUnavailable, "1"
	}
	return resp.StatusCode(), string(resp.Header.Peek("Retry-After"))
}

// startLoading unloads the current model and finishes loading another one after
// LoadMS. It does nothing if the model is already loaded.
func (s *Server) startLoading(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model == model && s.loading == "" {
		return
	}
	s.model = ""
	s.loading = model
	time.AfterFunc(time.Duration(s.opts.LoadMS)*time.Millisecond, func() { s.finishLoading(model) })
}

func (s *Server) finishLoading(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading != model {
		return // a later order has replaced this one
	}
	s.model = model
	s.loading = ""
	s.load.StartColdPeriod()
}
