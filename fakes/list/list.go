// Package list stands in for the platform's list of instances, which lags.
package list

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/roster"
	"wigeonplank.example/fakes/fault"
)

// Options starts a Server.
type Options struct {
	File string `long:"file" yaml:"file" description:"list that is published at the start (JSON)"`
}

// Faults of a list.
type Faults struct {
	Down  bool   `json:"down"`
	LagMS int    `json:"lag_ms"`
	Pin   uint64 `json:"pin"` // serve this version and none after it
}

type reading struct {
	list roster.List
	at   time.Time
}

// Server holds every list that was published. The zero value holds none.
type Server struct {
	faults fault.Switch[Faults]

	mu       sync.Mutex
	readings []reading
}

// Load publishes the list in a file.
func (s *Server) Load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read list: %w", err)
	}
	l, err := roster.Parse(raw)
	if err != nil {
		return fmt.Errorf("read list: %w", err)
	}
	s.Publish(l.Instances)
	return nil
}

// Publish adds a list under the next version.
func (s *Server) Publish(in []roster.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := roster.List{Version: uint64(len(s.readings) + 1), Instances: in}
	s.readings = append(s.readings, reading{list: l, at: time.Now()})
}

// Handler returns the list's pages.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/instances", s.read)
	r.POST("/publish", s.publish)
	r.POST("/fault", s.faults.Handle)
	return r.Handler
}

func (s *Server) publish(ctx *fasthttp.RequestCtx) {
	var l roster.List
	if err := json.Unmarshal(ctx.PostBody(), &l); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.Publish(l.Instances)
}

func (s *Server) read(ctx *fasthttp.RequestCtx) {
	f := s.faults.Get()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := time.Now().Add(-time.Duration(f.LagMS) * time.Millisecond)
	for i := len(s.readings) - 1; i >= 0; i-- {
		r := s.readings[i]
		if (f.Pin == 0 || r.list.Version <= f.Pin) && (i == 0 || !r.at.After(before)) {
			fault.JSON(ctx, fasthttp.StatusOK, r.list)
			return
		}
	}
	ctx.Error("no list", fasthttp.StatusServiceUnavailable)
}
