// Package site is a stand-in for the users' platform: its store, plain services,
// model engines and endpoints of stages, with faults that a test switches on.
package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Outage is how the store fails.
type Outage string

// Outages.
const (
	OutageNone Outage = ""
	OutageBusy Outage = "busy" // answers 503
	OutageDown Outage = "down" // closes connections
	OutageMute Outage = "mute" // never answers, also not later
)

const (
	pageItems = 3                // small, so that lists have pages
	muteTime  = 20 * time.Second // longer than any caller waits
)

// Item is one entry of the store, as it is sent.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is the platform's store. The zero value is ready to use.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision int64
	lost     int64 // history up to here is gone
	changed  chan struct{}
	outage   Outage
	calls    int
}

func (s *Store) prepare() {
	if s.items == nil {
		s.items = make(map[string]Item)
		s.changed = make(chan struct{})
		s.revision = 1
	}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) {
	s.change(Item{Key: key, Value: value})
}

// Delete removes an item.
func (s *Store) Delete(key string) { s.change(Item{Key: key, Removed: true}) }

func (s *Store) change(it Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Fail makes the store fail from now on.
func (s *Store) Fail(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	s.history, s.lost = nil, s.revision
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler answers the platform's calls.
func (s *Store) Handler(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.prepare()
	s.calls++
	outage := s.outage
	s.mu.Unlock()
	switch {
	case outage == OutageBusy:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case outage == OutageMute:
		time.Sleep(muteTime)
		_ = ctx.Conn().Close() // the caller has given up
	case outage == OutageDown:
		_ = ctx.Conn().Close() // the caller sees it
	case string(ctx.Path()) == "/kv-range":
		s.list(ctx)
	case string(ctx.Path()) == "/kv-watch":
		s.watch(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) list(ctx *fasthttp.RequestCtx) {
	prefix, after := string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]Item, 0, pageItems)
	more := false
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(k, prefix) || k <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	reply(ctx, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

func (s *Store) watch(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	prefix, after := string(q.Peek("prefix")), int64(q.GetUintOrZero("after"))
	timeout := time.After(time.Duration(q.GetUintOrZero("waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.lost {
			s.mu.Unlock()
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		events := make([]Item, 0)
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(ctx, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(ctx, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(fmt.Sprintf("encode: %v", err), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
