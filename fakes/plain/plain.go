// Package plain simulates a plain service, some of whose calls must not be
// executed twice. It counts the executions of each input.
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

// Options configures the service.
type Options struct {
	load.Options `yaml:",inline"`
	ServiceUS    int `long:"service-us" yaml:"service_us" default:"5000" description:"service time of a call without concurrent calls, warm, µs"`
}

// Faults are the failures that the service injects.
type Faults struct {
	load.Faults
	DropAnswer bool `json:"drop_answer"` // execute the call, then close the connection
	FailAfter  bool `json:"fail_after"`  // execute the call, then respond with 500
	SlowMS     int  `json:"slow_ms"`     // added to the service time, ms
}

// Server is a plain service.
type Server struct {
	opts   Options
	load   *load.Simulator
	faults fault.Switch[Faults]

	mu      sync.Mutex
	effects map[string]int // executions by input
	total   int            // executions of all inputs
}

// New returns a service that starts cold now.
func New(o Options) *Server {
	return &Server{opts: o, load: load.New(o.Options), effects: make(map[string]int)}
}

// Handler returns the HTTP handler of the service. A POST to any path but /fault
// is a call.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	s.load.AddRoutes(r)
	r.GET("/effects", func(ctx *fasthttp.RequestCtx) { fault.WriteJSON(ctx, fasthttp.StatusOK, s.Effects()) })
	r.POST("/fault", func(ctx *fasthttp.RequestCtx) {
		s.faults.Handle(ctx)
		s.load.SetFaults(s.faults.Get().Faults)
	})
	r.POST("/{path:*}", s.call)
	return r.Handler
}

// Effects are the numbers of executed calls, in total and by input.
type Effects struct {
	Total   int            `json:"total"`
	ByInput map[string]int `json:"by_input"`
}

// Effects returns the numbers of calls executed so far.
func (s *Server) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Effects{Total: s.total, ByInput: make(map[string]int, len(s.effects))}
	for input, n := range s.effects {
		out.ByInput[input] = n
	}
	return out
}

// callBody is the body of a call.
type callBody struct {
	Input string `json:"input"`
}

// Receipt is the response to a call.
type Receipt struct {
	Receipt string `json:"receipt"` // hash of the input
	Number  int    `json:"number"`  // position of the execution among all executions, from 1
}

func (s *Server) call(ctx *fasthttp.RequestCtx) {
	var body callBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !s.load.Acquire() {
		ctx.Error("full", fasthttp.StatusTooManyRequests)
		return
	}
	defer s.load.Release()
	f := s.faults.Get()
	number := s.recordEffect(body.Input)
	time.Sleep(time.Duration(float64(s.opts.ServiceUS)*s.load.Slowdown())*time.Microsecond + time.Duration(f.SlowMS)*time.Millisecond)
	switch {
	case f.DropAnswer:
		_ = ctx.Conn().Close()
	case f.FailAfter:
		ctx.Error("fault", fasthttp.StatusInternalServerError)
	default:
		fault.WriteJSON(ctx, fasthttp.StatusOK, Receipt{Receipt: engine.InputHash(body.Input), Number: number})
	}
}

// recordEffect counts an execution and returns its number among all executions.
func (s *Server) recordEffect(input string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[input]++
	s.total++
	return s.total
}
