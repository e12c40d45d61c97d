// Package admin serves the admin HTTP endpoints of a process: /healthz, /readyz,
// /status and /metrics.
package admin

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	maxBodyBytes = 16 << 10
	maxConns     = 256
)

// Server is the HTTP server of the admin port. Set the fields before Serve.
type Server struct {
	// Ready reports whether the process is ready; the text is the body of /readyz
	// and names the reason if it isn't.
	Ready     func() (bool, string)
	Status    func() any             // returns the value that /status encodes as JSON
	Registry  metrics.Registry       // written by /metrics
	AddRoutes func(r *router.Router) // adds further routes; may be nil

	http *fasthttp.Server
}

// Serve answers requests on ln until ln is closed. It blocks.
func (s *Server) Serve(ln net.Listener) error {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", s.serveReady)
	r.GET("/status", func(ctx *fasthttp.RequestCtx) { WriteJSON(ctx, fasthttp.StatusOK, s.Status()) })
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; version=0.0.4")
		WriteMetrics(ctx, s.Registry)
	})
	if s.AddRoutes != nil {
		s.AddRoutes(r)
	}
	s.http = &fasthttp.Server{
		Handler:               r.Handler,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		Concurrency:           maxConns,
		NoDefaultServerHeader: true,
	}
	if err := s.http.Serve(ln); err != nil {
		return fmt.Errorf("serve admin port: %w", err)
	}
	return nil
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	ok, reason := s.Ready()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(reason + "\n")
}

// WriteJSON writes v as the JSON body of a response with the given status. It
// responds with status 500 if v can't be encoded.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(fmt.Sprintf("encode response: %v", err), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(raw, '\n'))
}
