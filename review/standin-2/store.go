package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // encoded as base64
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store, for reads and watches.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]storeItem
	events  []storeItem
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{rev: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// put writes the JSON of v under key.
func (s *store) put(key string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.add(storeItem{Key: key, Value: raw, Revision: s.rev, Created: created})
}

// remove removes key, if it exists.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.add(storeItem{Key: key, Revision: s.rev, Removed: true})
}

func (s *store) add(it storeItem) {
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		items := make([]storeItem, 0, len(s.items))
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				items = append(items, it)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "storeRevision": rev})
	case "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		waitMs, _ := strconv.Atoi(q.Get("waitMs"))
		end := time.After(time.Duration(waitMs) * time.Millisecond)
		for {
			s.mu.Lock()
			events := []storeItem{}
			for _, it := range s.events {
				if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
					events = append(events, it)
				}
			}
			rev, changed := s.rev, s.changed
			s.mu.Unlock()
			timeout := false
			if len(events) == 0 {
				select {
				case <-changed:
					continue
				case <-r.Context().Done():
					return
				case <-end:
					timeout = true
				}
			}
			if timeout || len(events) > 0 {
				_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": rev})
				return
			}
		}
	default:
		http.NotFound(w, r)
	}
}
