// Package pool stands in for pools of encoders, retrievers and rerankers.
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

// Options starts a Server.
type Options struct {
	load.Options `yaml:",inline"`
	ServiceUS    int `long:"service-us" yaml:"service_us" default:"4000" description:"time of one call, alone and warm, µs"`
}

// Faults of a pool's member.
type Faults struct {
	load.Faults
	FailEvery int `json:"fail_every"`
}

// Server is a member of a pool; it answers the calls of all three kinds.
type Server struct {
	opts   Options
	meter  *load.Meter
	faults fault.Switch[Faults]
	served atomic.Int64
}

// New returns a member that starts now.
func New(o Options) *Server { return &Server{opts: o, meter: load.New(o.Options)} }

// Handler returns the member's pages.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/embeddings", s.work(embed))
	r.POST("/v1/search", s.work(search))
	r.POST("/v1/rerank", s.work(rerank))
	s.meter.Routes(r)
	r.POST("/fault", func(ctx *fasthttp.RequestCtx) {
		s.faults.Handle(ctx)
		s.meter.Set(s.faults.Get().Faults)
	})
	return r.Handler
}

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

func (s *Server) work(answer func(query) any) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var q query
		if err := json.Unmarshal(ctx.PostBody(), &q); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if n := s.faults.Get().FailEvery; n > 0 && s.served.Add(1)%int64(n) == 0 {
			ctx.Error("fault", fasthttp.StatusInternalServerError)
			return
		}
		if !s.meter.Begin() {
			ctx.Error("full", fasthttp.StatusTooManyRequests)
			return
		}
		defer s.meter.End()
		time.Sleep(time.Duration(float64(s.opts.ServiceUS)*s.meter.Factor()) * time.Microsecond)
		fault.JSON(ctx, fasthttp.StatusOK, answer(q))
	}
}

const (
	dimensions = 8
	found      = 4
)

func embed(q query) any {
	out := make([]float64, dimensions)
	for i, c := range []byte(engine.WordOf(q.Input)) {
		out[i%dimensions] += float64(c)
	}
	return embedding{Embedding: out}
}

func search(q query) any {
	out := make([]string, found)
	for i := range out {
		out[i] = fmt.Sprintf("document %d for %s", i, engine.WordOf(q.Query))
	}
	return documents{Documents: out}
}

func rerank(q query) any {
	out := slices.Clone(q.Documents)
	slices.Reverse(out)
	return documents{Documents: out}
}
