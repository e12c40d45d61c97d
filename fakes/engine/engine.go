// Package engine stands in for a model engine: completions as server-sent
// events, continuous batching, a prefix cache, resume and cancel, lagging load
// reports, and orders to load models.
package engine

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/feed"
	"wigeonplank.example/fakes/fault"
	"wigeonplank.example/fakes/load"
)

// Options starts a Server.
type Options struct {
	load.Options `yaml:",inline"`
	TokenUS      int    `long:"token-us" yaml:"token_us" default:"2000" description:"time of one token, alone and warm, µs"`
	PrefillUS    int    `long:"prefill-us" yaml:"prefill_us" default:"10000" description:"time until the first token, µs"`
	LoadMS       int    `long:"load-ms" yaml:"load_ms" default:"300" description:"time to load a model, ms"`
	Store        string `long:"store" yaml:"store" description:"weight store, IP:port; empty: models load without it"`
	Model        string `long:"model" yaml:"model" description:"model that is loaded at the start"`
	Fences       bool   `long:"fences" yaml:"fences" description:"refuse orders with an old fencing number"`
	Seed         uint64 `long:"seed" yaml:"seed" default:"1" description:"seed of the faults that are drawn"`
}

// Faults of an engine.
type Faults struct {
	load.Faults
	BreakAfter int  `json:"break_after"` // break each stream once, after so many tokens
	NoResume   bool `json:"no_resume"`
	Double     bool `json:"double"` // send each token twice
	FailEvery  int  `json:"fail_every"`
}

const (
	cachedPrefixes = 64
	prefixBytes    = 256
	cachedFactor   = 0.2 // of the prefill time, on a cache hit
	resultHold     = 10 * time.Second
)

// Server is an engine.
type Server struct {
	opts   Options
	meter  *load.Meter
	faults fault.Switch[Faults]
	client fasthttp.Client

	mu      sync.Mutex
	model   string
	loading string
	fence   uint64
	orders  []Order
	runs    map[string]*run
	cache   []string // prefixes, newest last
	events  []CacheEvent
	served  int
}

// run is one completion, which goes on when its stream breaks.
type run struct {
	out     feed.Feed[string] // ends with a failure, or ""
	mu      sync.Mutex
	offsets []int // where each token ends
	stop    chan struct{}
	once    sync.Once
	broken  bool
}

func (r *run) cancel() { r.once.Do(func() { close(r.stop) }) }

// Order is an order as it was given.
type Order struct {
	Fence uint64 `json:"fence"`
	Model string `json:"model"`
	Taken bool   `json:"taken"`
}

// CacheEvent says that a prefix entered or left the cache.
type CacheEvent struct {
	Seq   int    `json:"seq"`
	Kind  string `json:"kind"`
	Bytes int    `json:"bytes"`
}

// New returns an engine that starts now.
func New(o Options) *Server {
	return &Server{opts: o, meter: load.New(o.Options), model: o.Model, runs: make(map[string]*run)}
}

// Handler returns the engine's pages.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/completions", s.complete)
	r.POST("/v1/cancel", s.cancel)
	r.GET("/load", s.report)
	r.GET("/orders", s.readOrders)
	r.POST("/orders", s.order)
	r.GET("/events", s.cacheEvents)
	r.GET("/history", s.history)
	r.POST("/fault", func(ctx *fasthttp.RequestCtx) {
		s.faults.Handle(ctx)
		s.meter.Set(s.faults.Get().Faults)
	})
	return r.Handler
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	RequestID string `json:"request_id"`
	Resume    int    `json:"resume_from"`
}

func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	var c completion
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if c.Resume > 0 {
		s.resume(ctx, c)
		return
	}
	s.mu.Lock()
	loaded := s.model == c.Model
	s.served++
	served := s.served
	s.mu.Unlock()
	if !loaded {
		ctx.Error("model is not loaded", fasthttp.StatusTooManyRequests)
		return
	}
	if n := s.faults.Get().FailEvery; n > 0 && served%n == 0 {
		ctx.Error("engine fault", fasthttp.StatusInternalServerError)
		return
	}
	if !s.meter.Begin() {
		ctx.Error("full", fasthttp.StatusTooManyRequests)
		return
	}
	r := &run{stop: make(chan struct{})}
	s.mu.Lock()
	s.runs[c.RequestID] = r
	s.mu.Unlock()
	go s.generate(r, c)
	s.stream(ctx, r, 0)
}

func (s *Server) resume(ctx *fasthttp.RequestCtx, c completion) {
	s.mu.Lock()
	r := s.runs[c.RequestID]
	s.mu.Unlock()
	if r == nil || s.faults.Get().NoResume {
		ctx.Error("nothing to resume", fasthttp.StatusGone)
		return
	}
	s.stream(ctx, r, c.Resume)
}

func (s *Server) generate(r *run, c completion) {
	defer s.meter.End()
	defer time.AfterFunc(resultHold, func() { s.forget(c.RequestID) })
	prefill := float64(s.opts.PrefillUS)
	if s.cached(c.Prompt) {
		prefill *= cachedFactor
	}
	if !s.step(r, prefill) {
		return
	}
	word := Word(c.Prompt)
	for i := range c.MaxTokens {
		if !s.step(r, float64(s.opts.TokenUS)) {
			return
		}
		r.mu.Lock()
		r.out.Append([]byte(fmt.Sprintf("%s-%d ", word, i)))
		r.offsets = append(r.offsets, r.out.Len())
		r.mu.Unlock()
	}
	r.out.End("")
}

func (s *Server) step(r *run, micros float64) bool {
	t := time.NewTimer(time.Duration(micros*s.meter.Factor()) * time.Microsecond)
	defer t.Stop()
	select {
	case <-r.stop:
		r.out.End("cancelled")
		return false
	case <-t.C:
		return true
	}
}

func (s *Server) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, id)
}

func (s *Server) cancel(ctx *fasthttp.RequestCtx) {
	var c completion
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	r := s.runs[c.RequestID]
	s.mu.Unlock()
	if r != nil {
		r.cancel()
	}
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	r, ok := s.meter.Report()
	if !ok {
		ctx.Error("no report", fasthttp.StatusServiceUnavailable)
		return
	}
	fault.JSON(ctx, fasthttp.StatusOK, r)
}

type history struct {
	load.History
	Model  string  `json:"model"`
	Orders []Order `json:"orders"`
}

func (s *Server) history(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.JSON(ctx, fasthttp.StatusOK, history{History: s.meter.History(), Model: s.model, Orders: s.orders})
}
