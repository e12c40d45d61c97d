package ctrl

import (
	"encoding/json"
	"testing"

	"wigeonplank.example/core/repl"
	"wigeonplank.example/fakes/site"
	plat "wigeonplank.example/platform"
)

// TestStartAfterOutdatedEntries guards against a relay that starts and uses a withdrawn
// key, or an endpoint that has left, because the store lists an older configuration or
// was restored from a copy. The relays that know better tell it.
func TestStartAfterOutdatedEntries(t *testing.T) {
	config := func(version int, key string, revision int64) plat.Entry {
		value, err := json.Marshal(site.StandardConfigWithKey(version, key))
		if err != nil {
			t.Fatal(err)
		}
		return plat.Entry{Key: plat.ConfigKey, Revision: revision, Value: value}
	}
	endpoint := endpointEntry("a", "ready", 1, 5, 3)
	for name, change := range map[string]func(f *fixture){
		"restored from a copy": func(f *fixture) { f.restore(1, 4, config(1, "old", 2), endpoint) },
		"written again":        func(f *fixture) { f.watch(0, config(1, "old", 12)) },
		"unreadable":           func(f *fixture) { f.watch(0, plat.Entry{Key: plat.ConfigKey, Revision: 12, Value: []byte("{")}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.read(false)
			f.watch(0, config(1, "old", 2), endpoint)
			f.watch(0, config(2, "new", 10), plat.Entry{Key: endpoint.Key, Revision: 11, Removed: true})
			change(f)
			started := newFixture()
			started.apply(update{Update: f.state.table.Since(repl.Point{Revision: -1}), transfer: repl.Transfer{From: "a"}, position: f.Position()})
			cfg := started.View().Config
			if cfg == nil {
				t.Fatal("the relay has no configuration")
			}
			if _, ok := cfg.TeamByKey("old"); ok || cfg.Version != 2 {
				t.Errorf("version %d, withdrawn key is valid: %v", cfg.Version, ok)
			}
			started.check(t, "after the start", 0)
			f.watch(f.Position().Era, config(3, "newest", 13))
			started.apply(update{Update: f.state.table.Since(started.Position().Point), transfer: repl.Transfer{From: "a"}, position: f.Position()})
			if v := started.View().Config.Version; v != 3 {
				t.Errorf("version %d after the next one was written, want 3", v)
			}
		})
	}
}
