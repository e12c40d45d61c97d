// Package admin serves a process's pages for operators: health, readiness,
// metrics and status.
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
	maxBody      = 16 << 10
	maxConns     = 256
)

// Server answers on the operators' port. Set the fields before Serve.
type Server struct {
	Ready    func() (bool, string) // the text says what is missing
	Status   func() any            // encoded as JSON
	Registry metrics.Registry
	Extra    func(r *router.Router) // more pages; may be nil

	http *fasthttp.Server
}

// Serve answers on ln until Close. It blocks.
func (s *Server) Serve(ln net.Listener) error {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", s.ready)
	r.GET("/status", func(ctx *fasthttp.RequestCtx) { JSON(ctx, fasthttp.StatusOK, s.Status()) })
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; version=0.0.4")
		WriteMetrics(ctx, s.Registry)
	})
	if s.Extra != nil {
		s.Extra(r)
	}
	s.http = &fasthttp.Server{
		Handler:               r.Handler,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		MaxRequestBodySize:    maxBody,
		Concurrency:           maxConns,
		NoDefaultServerHeader: true,
	}
	if err := s.http.Serve(ln); err != nil {
		return fmt.Errorf("serve operators' port: %w", err)
	}
	return nil
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	ok, why := s.Ready()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(why + "\n")
}

// JSON answers a request with v.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(fmt.Sprintf("encode answer: %v", err), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(raw, '\n'))
}
