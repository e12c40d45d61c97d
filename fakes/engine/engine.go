// Package engine simulates a model engine: completions as server-sent events,
// continuous batching, a prefix cache, resumption and cancellation of streams,
// delayed load reports, and orders to load models.
package engine

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/http1"
	"wigeonplank.example/core/feed"
	"wigeonplank.example/fakes/fault"
	"wigeonplank.example/fakes/load"
)

// Options configures an engine.
type Options struct {
	load.Options `yaml:",inline"`
	TokenUS      int    `long:"token-us" yaml:"token_us" default:"2000" description:"time per token without concurrent requests, warm, µs"`
	PrefillUS    int    `long:"prefill-us" yaml:"prefill_us" default:"10000" description:"prefill time without concurrent requests, warm, µs"`
	LoadMS       int    `long:"load-ms" yaml:"load_ms" default:"300" description:"time to load a model, ms"`
	WeightStore  string `long:"store" yaml:"store" description:"weight store, IP:port; empty: models load without it"`
	Model        string `long:"model" yaml:"model" description:"model that is loaded at the start"`
	ChecksFence  bool   `long:"fences" yaml:"fences" description:"reject orders with an old fencing number"`
	Seed         uint64 `long:"seed" yaml:"seed" default:"1" description:"seed of random faults"`
}

// Faults are the failures that an engine injects.
type Faults struct {
	load.Faults
	BreakAfter int  `json:"break_after"` // break each stream once, after this number of tokens; 0: off
	NoResume   bool `json:"no_resume"`   // reject resumptions
	Double     bool `json:"double"`      // send each token twice
	FailEvery  int  `json:"fail_every"`  // respond to every nth completion with 500; 0: off
}

const (
	maxCachedPrefixes     = 64
	prefixBytes           = 256 // length of the part of a prompt that is cached
	cacheHitPrefillFactor = 0.2 // factor on the prefill time for a cached prefix
	resumePeriod          = 10 * time.Second
)

// Server is an engine.
type Server struct {
	opts   Options
	load   *load.Simulator
	faults fault.Switch[Faults]
	client fasthttp.Client // for requests to the weight store

	mu             sync.Mutex
	model          string // loaded model; empty: none
	loading        string // model that is being loaded; empty: none
	fence          uint64 // highest fencing number of an accepted order
	orders         []Order
	completions    map[string]*completion // by request ID
	cachedPrefixes []string               // oldest first
	cacheEvents    []CacheEvent           // oldest first
	numRequests    int                    // completions received, without resumptions
}

// completion is the output of one completion request. It continues when a stream
// breaks and stays available to resumptions until resumePeriod after its end.
type completion struct {
	out        feed.Feed[string] // ends with "" if the output is complete, otherwise with the reason of the failure
	mu         sync.Mutex
	tokenEnds  []int // offset in out at which each token ends
	cancelled  chan struct{}
	cancelOnce sync.Once
	broken     bool // BreakAfter has broken the stream
}

func (c *completion) cancel() { c.cancelOnce.Do(func() { close(c.cancelled) }) }

// Order is an order to load a model.
type Order struct {
	Fence    uint64 `json:"fence"`
	Model    string `json:"model"`
	Accepted bool   `json:"taken"`
}

// CacheEvent reports that a prefix was stored in the cache or evicted.
type CacheEvent struct {
	Seq   int    `json:"seq"`
	Kind  string `json:"kind"`
	Bytes int    `json:"bytes"`
}

// New returns an engine that starts cold now.
func New(o Options) *Server {
	return &Server{
		opts: o, load: load.New(o.Options), model: o.Model, completions: make(map[string]*completion), client: fasthttp.Client{DialTimeout: http1.Dial},
	}
}

// Handler returns the HTTP handler of the engine.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/completions", s.handleCompletion)
	r.POST("/v1/cancel", s.handleCancel)
	r.GET("/load", s.handleLoad)
	r.GET("/orders", s.handleState)
	r.POST("/orders", s.handleOrder)
	r.GET("/events", s.handleCacheEvents)
	r.GET("/history", s.handleHistory)
	r.POST("/fault", func(ctx *fasthttp.RequestCtx) {
		s.faults.Handle(ctx)
		s.load.SetFaults(s.faults.Get().Faults)
	})
	return r.Handler
}

// completionRequest is the body of a completion, a resumption or a cancellation.
type completionRequest struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	RequestID  string `json:"request_id"`
	ResumeFrom int    `json:"resume_from"` // index of the next token; 0: a new completion
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	var req completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if req.ResumeFrom > 0 {
		s.resume(ctx, req)
		return
	}
	s.mu.Lock()
	loaded := s.model == req.Model
	s.numRequests++
	n := s.numRequests
	s.mu.Unlock()
	if !loaded {
		ctx.Error("model is not loaded", fasthttp.StatusTooManyRequests)
		return
	}
	if every := s.faults.Get().FailEvery; every > 0 && n%every == 0 {
		ctx.Error("engine fault", fasthttp.StatusInternalServerError)
		return
	}
	if !s.load.Acquire() {
		ctx.Error("full", fasthttp.StatusTooManyRequests)
		return
	}
	c := &completion{cancelled: make(chan struct{})}
	s.mu.Lock()
	s.completions[req.RequestID] = c
	s.mu.Unlock()
	go s.generate(c, req)
	s.stream(ctx, c, 0)
}

// resume streams the rest of a completion from the token that the request names.
func (s *Server) resume(ctx *fasthttp.RequestCtx, req completionRequest) {
	s.mu.Lock()
	c := s.completions[req.RequestID]
	s.mu.Unlock()
	if c == nil || s.faults.Get().NoResume {
		ctx.Error("nothing to resume", fasthttp.StatusGone)
		return
	}
	s.stream(ctx, c, req.ResumeFrom)
}

// generate produces the tokens of a completion until it is complete or cancelled.
func (s *Server) generate(c *completion, req completionRequest) {
	defer s.load.Release()
	defer time.AfterFunc(resumePeriod, func() { s.removeCompletion(req.RequestID) })
	prefillUS := float64(s.opts.PrefillUS)
	if s.lookupPrefix(req.Prompt) {
		prefillUS *= cacheHitPrefillFactor
	}
	if !s.waitStep(c, prefillUS) {
		return
	}
	hash := promptHash(req.Prompt)
	for i := range req.MaxTokens {
		if !s.waitStep(c, float64(s.opts.TokenUS)) {
			return
		}
		c.mu.Lock()
		c.out.Append([]byte(fmt.Sprintf("%s-%d ", hash, i)))
		c.tokenEnds = append(c.tokenEnds, c.out.Len())
		c.mu.Unlock()
	}
	c.out.End("")
}

// waitStep waits for the duration of a step under the current load. It returns
// false, and ends the output, if the completion is cancelled before.
func (s *Server) waitStep(c *completion, unloadedUS float64) bool {
	t := time.NewTimer(time.Duration(unloadedUS*s.load.Slowdown()) * time.Microsecond)
	defer t.Stop()
	select {
	case <-c.cancelled:
		c.out.End("cancelled")
		return false
	case <-t.C:
		return true
	}
}

func (s *Server) removeCompletion(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.completions, requestID)
}

func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	var req completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	c := s.completions[req.RequestID]
	s.mu.Unlock()
	if c != nil {
		c.cancel()
	}
}

func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	r, ok := s.load.Report()
	if !ok {
		ctx.Error("no report", fasthttp.StatusServiceUnavailable)
		return
	}
	fault.WriteJSON(ctx, fasthttp.StatusOK, r)
}

// history is the load history with the loaded model and all orders received.
type history struct {
	load.History
	Model  string  `json:"model"`
	Orders []Order `json:"orders"`
}

func (s *Server) handleHistory(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.WriteJSON(ctx, fasthttp.StatusOK, history{History: s.load.History(), Model: s.model, Orders: s.orders})
}
