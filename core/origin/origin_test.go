package origin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

var start = time.UnixMilli(1_700_000_000_000)

// TestTable checks that versions are kept for their lifetime, and the first one of a
// stream for good.
func TestTable(t *testing.T) {
	var table origin.Table
	table.Put(start, "a", origin.Origin{Version: "v1"})
	table.Put(start.Add(time.Second), "a", origin.Origin{Version: "v2"})
	if v, ok := table.Get(start.Add(origin.Lifetime), "a"); v.Version != "v1" || !ok {
		t.Errorf("got %q, %v, want v1", v, ok)
	}
	if v, ok := table.Get(start.Add(origin.Lifetime+time.Millisecond), "a"); ok {
		t.Errorf("got %q after its lifetime", v)
	}
	table.Put(start.Add(time.Minute), "a", origin.Origin{Version: "v2"})
	if v, _ := table.Get(start.Add(time.Minute), "a"); v.Version != "v2" {
		t.Errorf("got %q, want v2", v)
	}
}

// TestTableIsBounded checks that the oldest streams are dropped when there are too
// many.
func TestTableIsBounded(t *testing.T) {
	var table origin.Table
	for i := range 200_000 {
		table.Put(start, fmt.Sprint(i), origin.Origin{Version: "v1"})
	}
	if n := table.Len(); n > 50_000 {
		t.Errorf("%d streams", n)
	}
	if _, ok := table.Get(start, "199999"); !ok {
		t.Error("the newest stream was dropped")
	}
	if _, ok := table.Get(start, "0"); ok {
		t.Error("the oldest stream was kept")
	}
}

// TestVersions checks when a stream whose beginning is unknown may go on anywhere.
func TestVersions(t *testing.T) {
	const old, recent = "old", "recent" // start of an endpoint
	type observation struct {
		after     time.Duration
		endpoints string // VERSION:START of each
	}
	for name, c := range map[string]struct {
		observations []observation
		after        time.Duration // of the question
		want         bool
	}{
		"nothing listed":           {nil, 0, false},
		"one version":              {[]observation{{0, "v1:old v1:old"}}, 0, true},
		"one version, just begun":  {[]observation{{0, "v1:old v1:recent"}}, 0, false},
		"one version for long":     {[]observation{{0, "v1:old v1:recent"}}, origin.Lifetime + time.Second, true},
		"two versions":             {[]observation{{0, "v1:old v2:old"}}, origin.Lifetime + time.Second, false},
		"endpoint is added":        {[]observation{{0, "v1:old"}, {time.Second, "v1:old v1:recent"}}, 0, true},
		"former version gone":      {[]observation{{0, "v1:old v2:old"}, {time.Second, "v2:old"}}, origin.Lifetime, false},
		"former version long gone": {[]observation{{0, "v1:old v2:old"}, {time.Second, "v2:old"}}, origin.Lifetime + time.Second, true},
		"replaced at once":         {[]observation{{0, "v1:old"}, {time.Second, "v2:old"}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var v origin.Versions
			now := start
			for _, o := range c.observations {
				now = now.Add(o.after)
				endpoints := make(map[string]*fleet.Endpoint)
				for i, f := range splitFields(o.endpoints) {
					e := &fleet.Endpoint{ID: fmt.Sprint(i), Service: "s", Version: f[0], StartUnixMs: start.UnixMilli()}
					if f[1] == old {
						e.StartUnixMs -= time.Hour.Milliseconds()
					} else if f[1] != recent {
						t.Fatal(f)
					}
					endpoints[e.ID] = e
				}
				v.Observe(now, endpoints)
			}
			if got := v.Sole(now.Add(c.after), "s"); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// splitFields splits a list of A:B separated by spaces.
func splitFields(s string) [][2]string {
	var out [][2]string
	for f := range strings.FieldsSeq(s) {
		a, b, _ := strings.Cut(f, ":")
		out = append(out, [2]string{a, b})
	}
	return out
}
