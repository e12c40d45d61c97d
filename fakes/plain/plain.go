// Package plain stands in for a plain service, some of whose calls may not be
// repeated. It counts every effect.
package plain

import (
	"encoding/json"
	"sync"
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
	ServiceUS    int `long:"service-us" yaml:"service_us" default:"5000" description:"time of one call, alone and warm, µs"`
}

// Faults of a plain service.
type Faults struct {
	load.Faults
	DropAnswer bool `json:"drop_answer"` // run the call, then break the connection
	FailAfter  bool `json:"fail_after"`  // run the call, then answer 500
	SlowMS     int  `json:"slow_ms"`
}

// Server is a plain service.
type Server struct {
	opts   Options
	meter  *load.Meter
	faults fault.Switch[Faults]

	mu      sync.Mutex
	effects map[string]int
	total   int
}

// New returns a service that starts now.
func New(o Options) *Server {
	return &Server{opts: o, meter: load.New(o.Options), effects: make(map[string]int)}
}

// Handler returns the service's pages. Every other path is a call.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	s.meter.Routes(r)
	r.GET("/effects", func(ctx *fasthttp.RequestCtx) { fault.JSON(ctx, fasthttp.StatusOK, s.Effects()) })
	r.POST("/fault", func(ctx *fasthttp.RequestCtx) {
		s.faults.Handle(ctx)
		s.meter.Set(s.faults.Get().Faults)
	})
	r.POST("/{path:*}", s.call)
	return r.Handler
}

// Effects is what the calls did, by input.
type Effects struct {
	Total   int            `json:"total"`
	ByInput map[string]int `json:"by_input"`
}

// Effects returns a copy of what the calls did so far.
func (s *Server) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Effects{Total: s.total, ByInput: make(map[string]int, len(s.effects))}
	for k, v := range s.effects {
		out.ByInput[k] = v
	}
	return out
}

type envelope struct {
	Input string `json:"input"`
}

// Receipt is a call's answer.
type Receipt struct {
	Receipt string `json:"receipt"`
	Number  int    `json:"number"`
}

func (s *Server) call(ctx *fasthttp.RequestCtx) {
	var e envelope
	if err := json.Unmarshal(ctx.PostBody(), &e); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !s.meter.Begin() {
		ctx.Error("full", fasthttp.StatusTooManyRequests)
		return
	}
	defer s.meter.End()
	f := s.faults.Get()
	number := s.take(e.Input)
	time.Sleep(time.Duration(float64(s.opts.ServiceUS)*s.meter.Factor())*time.Microsecond + time.Duration(f.SlowMS)*time.Millisecond)
	switch {
	case f.DropAnswer:
		_ = ctx.Conn().Close()
	case f.FailAfter:
		ctx.Error("fault", fasthttp.StatusInternalServerError)
	default:
		fault.JSON(ctx, fasthttp.StatusOK, Receipt{Receipt: engine.WordOf(e.Input), Number: number})
	}
}

func (s *Server) take(input string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[input]++
	s.total++
	return s.total
}
