package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an item of the store, or an event of a watch.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]entry
	history  []entry
	revision int64
	changed  chan struct{}
	keep     time.Duration // how long the history is kept; 0: for good
	written  []time.Time   // of the entries of history
	floor    int64         // changes up to this revision are discarded
	mode     string        // "": serves; "busy": 503; "silent": no answer
}

func newStore() *store {
	return &store{items: make(map[string]entry), revision: 100, changed: make(chan struct{})}
}

func (s *store) write(key string, value any, removed bool) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := entry{Key: key, Value: raw, Revision: s.revision, Created: s.revision, Removed: removed}
	if old, ok := s.items[key]; ok {
		e.Created = old.Created
	}
	if removed {
		e.Value = nil
		delete(s.items, key)
	} else {
		s.items[key] = e
	}
	s.history, s.written = append(s.history, e), append(s.written, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value any) { s.write(key, value, false) }
func (s *store) remove(key string)         { s.write(key, nil, true) }

// history20s makes the store keep its history for 20 s.
func (s *store) history20s() { s.keep = 20 * time.Second }

// discard drops the history that is too old. The caller holds mu.
func (s *store) discard() {
	for s.keep > 0 && len(s.written) > 0 && time.Since(s.written[0]) > s.keep {
		s.floor = s.history[0].Revision
		s.history, s.written = s.history[1:], s.written[1:]
	}
}

func (s *store) setMode(m string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func (s *store) serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, s) }()
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	switch mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		time.Sleep(20 * time.Second)
		return
	}
	q := r.URL.Query()
	prefix := q.Get("prefix")
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		items := make([]entry, 0)
		for k, e := range s.items {
			if strings.HasPrefix(k, prefix) && k > q.Get("after") {
				items = append(items, e)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		slices.SortFunc(items, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
		more := len(items) > 500
		if more {
			items = items[:500]
		}
		reply(w, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
	case "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			if s.discard(); after < s.floor {
				s.mu.Unlock()
				w.WriteHeader(http.StatusGone)
				return
			}
			events := make([]entry, 0)
			for _, e := range s.history {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					events = append(events, e)
				}
			}
			revision, changed := s.revision, s.changed
			s.mu.Unlock()
			done := len(events) > 0
			if !done {
				select {
				case <-changed:
					continue
				case <-timeout:
				}
			}
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
