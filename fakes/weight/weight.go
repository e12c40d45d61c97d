// Package weight simulates the store of model weights, which is rate-limited.
package weight

import (
	"sync/atomic"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"wigeonplank.example/fakes/fault"
)

// Options configures the store.
type Options struct {
	PerMinute float64 `long:"per-minute" yaml:"per_minute" default:"120" description:"rate limit, models per minute"`
	Burst     int     `long:"burst" yaml:"burst" default:"4" description:"burst of the rate limit, models"`
}

// Faults are the failures that the store injects.
type Faults struct {
	RejectAll bool `json:"refuse"`
}

const secondsPerMinute = 60

// Server is a weight store.
type Server struct {
	limiter  *rate.Limiter
	faults   fault.Switch[Faults]
	served   atomic.Int64
	rejected atomic.Int64
}

// New returns a weight store.
func New(o Options) *Server {
	return &Server{limiter: rate.NewLimiter(rate.Limit(o.PerMinute/secondsPerMinute), o.Burst)}
}

// Counts are the numbers of requests that the store served and rejected.
type Counts struct {
	Served   int64 `json:"given"`
	Rejected int64 `json:"refused"`
}

// Handler returns the HTTP handler of the store.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/weights/{model:*}", s.serve)
	r.POST("/fault", s.faults.Handle)
	r.GET("/counts", func(ctx *fasthttp.RequestCtx) {
		fault.WriteJSON(ctx, fasthttp.StatusOK, Counts{Served: s.served.Load(), Rejected: s.rejected.Load()})
	})
	return r.Handler
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	if s.faults.Get().RejectAll || !s.limiter.Allow() {
		s.rejected.Add(1)
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	s.served.Add(1)
}
