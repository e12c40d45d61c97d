// Package weight stands in for the weight store, which is rate-limited.
package weight

import (
	"sync/atomic"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"wigeonplank.example/fakes/fault"
)

// Options starts a Server.
type Options struct {
	PerMinute float64 `long:"per-minute" yaml:"per_minute" default:"120" description:"models handed out in a minute"`
	Burst     int     `long:"burst" yaml:"burst" default:"4" description:"models handed out at once"`
}

// Faults of a weight store.
type Faults struct {
	Refuse bool `json:"refuse"`
}

const secondsPerMinute = 60

// Server is a weight store.
type Server struct {
	limit   *rate.Limiter
	faults  fault.Switch[Faults]
	given   atomic.Int64
	refused atomic.Int64
}

// New returns a weight store.
func New(o Options) *Server {
	return &Server{limit: rate.NewLimiter(rate.Limit(o.PerMinute/secondsPerMinute), o.Burst)}
}

// Counts is what a store gave and refused.
type Counts struct {
	Given   int64 `json:"given"`
	Refused int64 `json:"refused"`
}

// Handler returns the store's pages.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/weights/{model:*}", s.give)
	r.POST("/fault", s.faults.Handle)
	r.GET("/counts", func(ctx *fasthttp.RequestCtx) {
		fault.JSON(ctx, fasthttp.StatusOK, Counts{Given: s.given.Load(), Refused: s.refused.Load()})
	})
	return r.Handler
}

func (s *Server) give(ctx *fasthttp.RequestCtx) {
	if s.faults.Get().Refuse || !s.limit.Allow() {
		s.refused.Add(1)
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	s.given.Add(1)
}
