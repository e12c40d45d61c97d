package ctrl

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/fakes/site"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// TestReadHistory guards against conclusions from a history that lacks something, and against further calls
// once the store can't have all of it any more.
func TestReadHistory(t *testing.T) {
	event := func(key string, created, revision int64, value []byte) map[string]any {
		return map[string]any{"key": key, "created": created, "revision": revision, "value": value}
	}
	config, err := json.Marshal(site.StandardConfigWithKey(1, "k"))
	if err != nil {
		t.Fatal(err)
	}
	endpoint := endpointEntry("a", "ready", 1, 5, 3)
	whole := []any{event(plat.ConfigKey, 2, 2, config), event(endpoint.Key, 3, 3, endpoint.Value), map[string]any{"key": endpoint.Key, "revision": 4, "removed": true}}
	for name, c := range map[string]struct {
		status int
		era    string
		events []any
		final  bool
		ok     bool
	}{
		"whole":                          {http.StatusOK, "1", whole, false, true},
		"discarded":                      {http.StatusGone, "1", nil, true, false},
		"restored from a copy":           {http.StatusOK, "2", whole, true, false},
		"no era":                         {http.StatusOK, "", whole, true, false},
		"the creation is missing":        {http.StatusOK, "1", whole[2:], true, false},
		"begins late, with a creation":   {http.StatusOK, "1", whole[1:], true, false},
		"an entry of another writer":     {http.StatusOK, "1", append(whole[:2:2], event(endpointEntry("b", "ready", 1, 5, 4).Key, 4, 4, []byte(`{"service":7}`))), true, false},
		"a configuration isn't readable": {http.StatusOK, "1", append(whole[:2:2], event(plat.ConfigKey, 2, 4, []byte("{"))), true, false},
		"an event isn't readable":        {http.StatusOK, "1", append(whole[:2:2], map[string]any{"key": 7, "revision": "x"}), true, false},
		"away":                           {http.StatusServiceUnavailable, "1", nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				if r.FormValue("after") != "0" {
					t.Errorf("asked for changes after %q", r.FormValue("after"))
				}
				_ = site.WriteHistory(w, c.status, c.era, c.events) // the read fails if this does
			}))
			defer s.Close()
			control := New("a", plat.NewStore(s.Listener.Addr().String()), clock.System{}, logs.New(io.Discard, clock.System{}, "a"))
			for range 2 {
				h, err := control.ReadHistory(t.Context())
				if (err == nil) != c.ok || errors.Is(err, ErrNoHistory) != c.final {
					t.Fatalf("error %v, want final: %v", err, c.final)
				}
				if c.ok && (len(h.Endpoints) != 1 || h.Endpoints[0].ID != "a" || len(h.Configs) != 1) {
					t.Errorf("read %+v", h)
				}
			}
			if want := map[bool]int{true: 1, false: 2}[c.final]; calls != want {
				t.Errorf("%d calls, want %d", calls, want)
			}
		})
	}
}

// TestHistoryIsFollowed guards against a relay that doesn't know, while the store is away, that nothing can be
// concluded from its history any more.
func TestHistoryIsFollowed(t *testing.T) {
	away := false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusGone)
	}))
	defer s.Close()
	c := New("a", plat.NewStore(s.Listener.Addr().String()), clock.System{}, logs.New(io.Discard, clock.System{}, "a"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.followHistory(t.Context())
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("it isn't noticed that the history was discarded")
	}
	away = true
	if _, err := c.ReadHistory(t.Context()); !errors.Is(err, ErrNoHistory) {
		t.Errorf("error %v", err)
	}
}
