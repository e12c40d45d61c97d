// Package site simulates the users' platform for tests and demos: its store,
// plain services, model engines and endpoints of stages. Tests inject faults into
// each of them.
package site

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Outage is a failure mode of the store.
type Outage string

// Outages.
const (
	OutageNone Outage = ""
	OutageBusy Outage = "busy" // responds with 503
	OutageDown Outage = "down" // closes the connection without a response
	OutageHang Outage = "mute" // never responds
)

const (
	fewPageItems = 3                // of a page by default; few, so that short lists span several pages
	hangTime     = 20 * time.Second // longer than any caller waits
)

const eraHeader = "Store-Era"

// Item is one entry of the store, as it is sent to clients. In the history it
// stands for a write or, if Removed is set, a deletion.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time // of the change
}

// Store is the platform's store. The zero value is ready to use.
type Store struct {
	PageItems int           // of a page of a list; 0: few
	Retention time.Duration // for which it keeps its history; 0: without a limit

	mu                sync.Mutex
	items             map[string]Item // by key
	history           []Item          // in the order of revisions
	revision          int64           // revision of the last change
	compactedRevision int64           // the history up to this revision is deleted
	changed           chan struct{}   // closed and replaced at each change
	outage            Outage
	calls             int
	sent              int        // bytes of the bodies of responses
	era               int        // incremented each time that a copy is restored
	backup            *storeCopy // taken by Copy; nil: none
}

// storeCopy is a copy of the store's entries.
type storeCopy struct {
	items    map[string]Item
	revision int64
}

// initLocked initializes a zero Store. The caller holds mu.
func (s *Store) initLocked() {
	if s.items == nil {
		s.items = make(map[string]Item)
		s.changed = make(chan struct{})
		s.revision, s.era = 1, 1
	}
}

// Copy takes a copy of the store, which Restore brings back.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initLocked()
	s.backup = &storeCopy{items: maps.Clone(s.items), revision: s.revision}
}

// Restore replaces the store by the copy that was taken last, if any. What was written
// since is lost and returned, and its revisions are given out again.
func (s *Store) Restore() []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backup == nil {
		return nil
	}
	var lost []Item
	for _, it := range s.history {
		if it.Revision > s.backup.revision {
			lost = append(lost, it)
		}
	}
	s.items, s.revision = maps.Clone(s.backup.items), s.backup.revision
	s.history = slices.DeleteFunc(s.history, func(it Item) bool { return it.Revision > s.revision })
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// Put writes the value of a key.
func (s *Store) Put(key string, value []byte) {
	s.apply(Item{Key: key, Value: value})
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.apply(Item{Key: key, Removed: true}) }

// apply stores or deletes an item under the next revision and wakes the watchers.
func (s *Store) apply(it Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initLocked()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, exists := s.items[it.Key]; exists {
		it.Created = old.Created
	}
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	it.at = time.Now()
	s.history = append(s.history, it)
	s.forgetLocked(it.at)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forgetLocked deletes the history that is older than Retention. The caller holds mu.
func (s *Store) forgetLocked(now time.Time) {
	for s.Retention > 0 && len(s.history) > 0 && now.Sub(s.history[0].at) > s.Retention {
		s.compactedRevision = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// SetOutage sets the failure mode of the store; OutageNone ends an outage.
func (s *Store) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
}

// Compact deletes the history. Watches from an earlier revision get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initLocked()
	s.history, s.compactedRevision = nil, s.revision
}

// BytesSent returns the size of the bodies of all responses.
func (s *Store) BytesSent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// NumCalls returns the number of calls that the store received.
func (s *Store) NumCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler serves list and watch requests to the store.
func (s *Store) Handler(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.initLocked()
	s.calls++
	outage := s.outage
	s.mu.Unlock()
	defer s.complete(ctx)
	switch {
	case outage == OutageBusy:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case outage == OutageHang:
		time.Sleep(hangTime)
		_ = ctx.Conn().Close() // the caller has timed out
	case outage == OutageDown:
		_ = ctx.Conn().Close() // the caller sees a closed connection
	case string(ctx.Path()) == "/kv-range":
		s.list(ctx)
	case string(ctx.Path()) == "/kv-watch":
		s.watch(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// complete names the era of the store in a response, and counts the bytes of its body.
func (s *Store) complete(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent += len(ctx.Response.Body())
	ctx.Response.Header.Set(eraHeader, strconv.Itoa(s.era))
}

// list responds with one page of the items whose keys have a prefix, in the order
// of keys.
func (s *Store) list(ctx *fasthttp.RequestCtx) {
	prefix, after := string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	most := cmp.Or(s.PageItems, fewPageItems)
	items := make([]Item, 0, most)
	more := false
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(k, prefix) || k <= after {
			continue
		}
		if len(items) == most {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	writeJSON(ctx, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

// watch responds with the changes after a revision to keys that have a prefix. If
// there are none, it waits for one until the timeout of the request. It responds
// with 410 if the history after the revision was compacted, or the store doesn't have
// the revision.
func (s *Store) watch(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	prefix, after := string(q.Peek("prefix")), int64(q.GetUintOrZero("after"))
	timeout := time.After(time.Duration(q.GetUintOrZero("waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		s.forgetLocked(time.Now())
		if after < s.compactedRevision || after > s.revision {
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
			writeJSON(ctx, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(ctx, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(fmt.Sprintf("encode: %v", err), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// NoChanges returns the body of the response to a watch in which nothing has changed up to a
// revision.
func NoChanges(revision int64) []byte {
	return fmt.Appendf(nil, `{"events":[],"storeRevision":%d}`, revision)
}

// WriteHistory responds to a watch with events, and names an era of the store unless it is empty.
func WriteHistory(w http.ResponseWriter, status int, era string, events []any) error {
	if era != "" {
		w.Header().Set(eraHeader, era)
	}
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": len(events) + 1}); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}
