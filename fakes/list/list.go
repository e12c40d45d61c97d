// Package list simulates the platform's instance list, which may be stale.
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

// Options configures the service.
type Options struct {
	File string `long:"file" yaml:"file" description:"instance list to publish at the start (JSON)"`
}

// Faults are the failures that the service injects.
type Faults struct {
	Down  bool   `json:"down"`   // respond with 503
	LagMS int    `json:"lag_ms"` // minimum age of the served list, ms
	Pin   uint64 `json:"pin"`    // highest version to serve; 0: no limit
}

// publication is a published list.
type publication struct {
	list        roster.List
	publishedAt time.Time
}

// Server is an instance list service. It keeps every published list; the zero
// value has none.
type Server struct {
	faults fault.Switch[Faults]

	mu           sync.Mutex
	publications []publication
}

// Load publishes the instance list in a JSON file.
func (s *Server) Load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read instance list: %w", err)
	}
	l, err := roster.Parse(raw)
	if err != nil {
		return fmt.Errorf("parse instance list: %w", err)
	}
	s.Publish(l.Instances)
	return nil
}

// Publish adds a list of instances under the next version.
func (s *Server) Publish(instances []roster.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := roster.List{Version: uint64(len(s.publications) + 1), Instances: instances}
	s.publications = append(s.publications, publication{list: l, publishedAt: time.Now()})
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/instances", s.read)
	r.POST("/publish", s.handlePublish)
	r.POST("/fault", s.faults.Handle)
	return r.Handler
}

func (s *Server) handlePublish(ctx *fasthttp.RequestCtx) {
	var l roster.List
	if err := json.Unmarshal(ctx.PostBody(), &l); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.Publish(l.Instances)
}

// read serves the newest list that LagMS and Pin allow. The first list is served
// even if it is younger than LagMS.
func (s *Server) read(ctx *fasthttp.RequestCtx) {
	f := s.faults.Get()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(f.LagMS) * time.Millisecond)
	for i := len(s.publications) - 1; i >= 0; i-- {
		p := s.publications[i]
		if (f.Pin == 0 || p.list.Version <= f.Pin) && (i == 0 || !p.publishedAt.After(cutoff)) {
			fault.WriteJSON(ctx, fasthttp.StatusOK, p.list)
			return
		}
	}
	ctx.Error("no list", fasthttp.StatusServiceUnavailable)
}
