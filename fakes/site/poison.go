package site

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	crashedEntryLifetime = 300 * time.Millisecond // time for which the store still lists a crashed endpoint
	crashRestartDelay    = 800 * time.Millisecond // from a crash to the start of the endpoint's successor
)

// Exposure is a request that crashes endpoints, as it reached one.
type Exposure struct {
	At      time.Time
	Crashed bool // the endpoint crashed under it, rather than under an earlier one
}

// PoisonPromptPart makes engines crash when they begin to answer a request that has a
// part with the given ID in its prompt, other than the last one.
func (s *Site) PoisonPromptPart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poisonedPart = id
}

// PoisonRequest makes endpoints crash when they begin to run a request with the given
// URI and body.
func (s *Site) PoisonRequest(uri, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poisonedURI, s.poisonedBody = uri, body
}

// PoisonItem makes endpoints of stages crash when they begin to run an item with a key.
func (s *Site) PoisonItem(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poisonedKey = key
}

// hasPoison reports whether a call crashes the endpoint that runs it.
func (s *Site) hasPoison(items []stageItem) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poisonedKey != "" && slices.ContainsFunc(items, func(it stageItem) bool { return it.Key == s.poisonedKey })
}

// Exposures returns the requests that crash endpoints, in the order of their arrival.
func (s *Site) Exposures() []Exposure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.exposures)
}

// isPoison reports whether a request crashes the endpoint that runs it.
func (e *Endpoint) isPoison(req *fasthttp.Request) bool {
	e.site.mu.Lock()
	part, uri, body := e.site.poisonedPart, e.site.poisonedURI, e.site.poisonedBody
	e.site.mu.Unlock()
	if uri != "" && string(req.RequestURI()) == uri && string(req.Body()) == body {
		return true
	}
	if part == "" || e.Kind != KindEngine {
		return false
	}
	parts := strings.Split(string(req.Header.Peek("X-Prefix-Hash")), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, part+":") })
}

// crash ends the endpoint, unless it has crashed before, and starts its successor under
// another ID and address some time later. It records the request that arrived at a time
// as an exposure.
func (e *Endpoint) crash(arrivedAt time.Time) {
	e.mu.Lock()
	first := !e.crashed
	e.crashed = true
	e.mu.Unlock()
	e.site.mu.Lock()
	e.site.exposures = append(e.site.exposures, Exposure{At: arrivedAt, Crashed: first})
	e.site.mu.Unlock()
	if !first {
		return
	}
	_ = e.stop() // an error doesn't matter: the listener isn't used again
	go func() {
		time.Sleep(crashedEntryLifetime)
		e.site.Deregister(e.ID)
		time.Sleep(crashRestartDelay - crashedEntryLifetime)
		select {
		case <-e.site.closed:
			return
		default:
		}
		spec := e.Spec
		spec.ID = nextID(e.ID)
		_, _ = e.site.StartEndpoint(spec) // fails only while the site closes
	}()
}

// nextID returns the ID of the successor of an endpoint, such as "g1.2" for "g1".
func nextID(id string) string {
	name, n := id, 1
	if base, suffix, ok := strings.Cut(id, "."); ok {
		name = base
		_, _ = fmt.Sscan(suffix, &n) // the suffix was made by nextID
	}
	return fmt.Sprintf("%s.%d", name, n+1)
}
