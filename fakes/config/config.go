// Package config stands in for the platform's configuration service: values
// with revisions that can be read and watched by long poll.
package config

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/fakes/fault"
)

// Options starts a Server.
type Options struct {
	File string `long:"file" yaml:"file" description:"document that is published at the start"`
}

// Faults of a configuration service.
type Faults struct {
	Down   bool   `json:"down"`
	Pin    uint64 `json:"pin"` // serve this revision and none after it
	SlowMS int    `json:"slow_ms"`
}

// Counts is how often the service was asked.
type Counts struct {
	Calls   int64 `json:"calls"`
	Busiest int   `json:"busiest"` // the most calls in one second
}

type value struct {
	revision uint64
	raw      []byte
}

// Server holds every value that was published. The zero value holds none.
type Server struct {
	faults fault.Switch[Faults]

	mu      sync.Mutex
	values  []value
	changed chan struct{}
	counts  Counts
	second  int64
	inside  int
}

// Publish adds a document. The revision is read from it, but it isn't validated
// otherwise: operators may publish nonsense.
func (s *Server) Publish(raw []byte) {
	revision := uint64(0)
	if d, err := conf.Parse(raw); err == nil {
		revision = d.Revision
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 && len(s.values) > 0 {
		revision = s.values[len(s.values)-1].revision + 1
	}
	s.values = append(s.values, value{revision: revision, raw: raw})
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Handler returns the service's pages.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/config", s.read)
	r.HEAD("/v1/config", s.read)
	r.POST("/publish", func(ctx *fasthttp.RequestCtx) { s.Publish(append([]byte(nil), ctx.PostBody()...)) })
	r.POST("/fault", s.faults.Handle)
	r.GET("/counts", func(ctx *fasthttp.RequestCtx) { fault.JSON(ctx, fasthttp.StatusOK, s.Counts()) })
	return r.Handler
}

// Counts returns how often the service was asked so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	if now := time.Now().Unix(); now != s.second {
		s.second, s.inside = now, 0
	}
	s.inside++
	s.counts.Busiest = max(s.counts.Busiest, s.inside)
}

func (s *Server) read(ctx *fasthttp.RequestCtx) {
	s.count()
	f := s.faults.Get()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait, _ := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	v, ok := s.await(after, wait)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	ctx.Response.Header.Set("Revision", fmt.Sprint(v.revision))
	ctx.SetContentType("application/yaml")
	ctx.SetBody(v.raw)
}

// await returns the newest value if its revision is above after, waiting for
// one if there is none.
func (s *Server) await(after uint64, wait time.Duration) (value, bool) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		v, ok := s.newest()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if ok && v.revision > after {
			return v, true
		}
		left := time.Until(deadline)
		if left <= 0 {
			return value{}, false
		}
		select {
		case <-changed:
		case <-time.After(min(left, 200*time.Millisecond)): // a fault may have been switched
			if s.faults.Get().Down {
				return value{}, false
			}
		}
	}
}

func (s *Server) newest() (value, bool) {
	pin := s.faults.Get().Pin
	for i := len(s.values) - 1; i >= 0; i-- {
		if pin == 0 || s.values[i].revision <= pin {
			return s.values[i], true
		}
	}
	return value{}, false
}
