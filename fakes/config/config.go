// Package config simulates the platform's configuration service: documents with
// revisions that clients read, or watch by long polling.
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

// faultPollInterval is how often a waiting read checks the injected faults.
const faultPollInterval = 200 * time.Millisecond

// Options configures the service.
type Options struct {
	File string `long:"file" yaml:"file" description:"document to publish at the start"`
}

// Faults are the failures that the service injects.
type Faults struct {
	Down   bool   `json:"down"`    // respond with 503
	Pin    uint64 `json:"pin"`     // highest revision to serve; 0: no limit
	SlowMS int    `json:"slow_ms"` // delay of each response, ms
}

// Counts are the numbers of calls that the service received.
type Counts struct {
	Calls        int64 `json:"calls"`
	MaxPerSecond int   `json:"busiest"` // maximum number of calls in one second
}

// document is one published document.
type document struct {
	revision uint64
	raw      []byte
}

// Server is a configuration service. It keeps every published document; the zero
// value has none.
type Server struct {
	faults fault.Switch[Faults]

	mu            sync.Mutex
	documents     []document
	changed       chan struct{} // closed at the next publication; nil: nobody waits
	counts        Counts
	second        int64 // Unix time of the second that callsInSecond counts
	callsInSecond int
}

// Publish adds a document. It takes the revision from the document, or the next
// one if the document can't be parsed or names none. Nothing else is validated,
// because operators may publish invalid documents.
func (s *Server) Publish(raw []byte) {
	revision := uint64(0)
	if d, err := conf.Parse(raw); err == nil {
		revision = d.Revision
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 && len(s.documents) > 0 {
		revision = s.documents[len(s.documents)-1].revision + 1
	}
	s.documents = append(s.documents, document{revision: revision, raw: raw})
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/config", s.read)
	r.HEAD("/v1/config", s.read)
	r.POST("/publish", func(ctx *fasthttp.RequestCtx) { s.Publish(append([]byte(nil), ctx.PostBody()...)) })
	r.POST("/fault", s.faults.Handle)
	r.GET("/counts", func(ctx *fasthttp.RequestCtx) { fault.WriteJSON(ctx, fasthttp.StatusOK, s.Counts()) })
	return r.Handler
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	if now := time.Now().Unix(); now != s.second {
		s.second, s.callsInSecond = now, 0
	}
	s.callsInSecond++
	s.counts.MaxPerSecond = max(s.counts.MaxPerSecond, s.callsInSecond)
}

func (s *Server) read(ctx *fasthttp.RequestCtx) {
	s.countCall()
	f := s.faults.Get()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait, _ := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	d, ok := s.waitNewer(after, wait)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	ctx.Response.Header.Set("Revision", fmt.Sprint(d.revision))
	ctx.SetContentType("application/yaml")
	ctx.SetBody(d.raw)
}

// waitNewer returns the newest document whose revision is above after. It waits
// for one for at most the given time and returns false if none is published or
// the service is switched down.
func (s *Server) waitNewer(after uint64, wait time.Duration) (document, bool) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		d, ok := s.newest()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if ok && d.revision > after {
			return d, true
		}
		left := time.Until(deadline)
		if left <= 0 {
			return document{}, false
		}
		select {
		case <-changed:
		case <-time.After(min(left, faultPollInterval)):
			if s.faults.Get().Down {
				return document{}, false
			}
		}
	}
}

// newest returns the newest document that the pin allows. The caller holds mu.
func (s *Server) newest() (document, bool) {
	pin := s.faults.Get().Pin
	for i := len(s.documents) - 1; i >= 0; i-- {
		if pin == 0 || s.documents[i].revision <= pin {
			return s.documents[i], true
		}
	}
	return document{}, false
}
