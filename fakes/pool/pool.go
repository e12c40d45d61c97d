// Package pool simulates members of pools of encoders, retrievers and rerankers.
package pool

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/engine"
	"wigeonplank.example/fakes/fault"
	"wigeonplank.example/fakes/load"
)

// Options configures a pool member.
type Options struct {
	load.Options `yaml:",inline"`
	ServiceUS    int `long:"service-us" yaml:"service_us" default:"4000" description:"service time of a call without concurrent calls, warm, µs"`
}

// Faults are the failures that a pool member injects.
type Faults struct {
	load.Faults
	FailEvery int `json:"fail_every"` // respond to every nth call with 500; 0: off
}

// Server is a pool member. It serves calls of all three kinds.
type Server struct {
	opts     Options
	load     *load.Simulator
	faults   fault.Switch[Faults]
	numCalls atomic.Int64
}

// New returns a pool member that starts cold now.
func New(o Options) *Server { return &Server{opts: o, load: load.New(o.Options)} }

// Handler returns the HTTP handler of the pool member.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/embeddings", s.handle(embed))
	r.POST("/v1/search", s.handle(search))
	r.POST("/v1/rerank", s.handle(rerank))
	s.load.AddRoutes(r)
	r.POST("/fault", func(ctx *fasthttp.RequestCtx) {
		s.faults.Handle(ctx)
		s.load.SetFaults(s.faults.Get().Faults)
	})
	return r.Handler
}

// query is the body of a call of any kind.
type query struct {
	Input     string    `json:"input"`
	Query     string    `json:"query"`
	Embedding []float64 `json:"embedding"`
	Documents []string  `json:"documents"`
}

type embedding struct {
	Embedding []float64 `json:"embedding"`
}

type documents struct {
	Documents []string `json:"documents"`
}

func (s *Server) handle(respond func(query) any) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var q query
		if err := json.Unmarshal(ctx.PostBody(), &q); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if n := s.faults.Get().FailEvery; n > 0 && s.numCalls.Add(1)%int64(n) == 0 {
			ctx.Error("fault", fasthttp.StatusInternalServerError)
			return
		}
		if !s.load.Acquire() {
			ctx.Error("full", fasthttp.StatusTooManyRequests)
			return
		}
		defer s.load.Release()
		time.Sleep(time.Duration(float64(s.opts.ServiceUS)*s.load.Slowdown()) * time.Microsecond)
		fault.WriteJSON(ctx, fasthttp.StatusOK, respond(q))
	}
}

const (
	embeddingDimensions = 8
	numDocuments        = 4 // found by a search
)

func embed(q query) any {
	out := make([]float64, embeddingDimensions)
	for i, c := range []byte(engine.InputHash(q.Input)) {
		out[i%embeddingDimensions] += float64(c)
	}
	return embedding{Embedding: out}
}

func search(q query) any {
	out := make([]string, numDocuments)
	for i := range out {
		out[i] = fmt.Sprintf("document %d for %s", i, engine.InputHash(q.Query))
	}
	return documents{Documents: out}
}

func rerank(q query) any {
	out := slices.Clone(q.Documents)
	slices.Reverse(out)
	return documents{Documents: out}
}
