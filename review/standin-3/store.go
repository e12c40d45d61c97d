package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's store.
type store struct {
	addr string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{}
}

func newStore(addr string) (*store, error) {
	s := &store{addr: addr, items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a value as JSON. A nil value removes the key.
func (s *store) put(key string, v any) {
	var raw []byte
	if v != nil {
		raw, _ = json.Marshal(v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: raw, Revision: s.revision, Created: s.revision, Removed: v == nil}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	if it.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	out, rev := []item{}, s.revision
	for k, it := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			out = append(out, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	reply(w, map[string]any{"items": out, "hasMore": more, "storeRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		out, rev, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				out = append(out, it)
			}
		}
		s.mu.Unlock()
		if len(out) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-t.C:
				wait = 0
				continue
			case <-r.Context().Done():
				return
			}
		}
		reply(w, map[string]any{"events": out, "storeRevision": rev})
		return
	}
}
