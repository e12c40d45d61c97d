package origin_test

import (
	"fmt"
	"testing"
	"time"

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
		t.Errorf("got %v, %v, want v1", v, ok)
	}
	table.Put(start, "b", origin.Origin{Version: "v1"})
	table.Put(start, "b", origin.Origin{}) // the version can't be known after all
	if v, ok := table.Get(start, "b"); v != (origin.Origin{}) || !ok {
		t.Errorf("got %v, %v, want the zero origin", v, ok)
	}
	if v, ok := table.Get(start.Add(origin.Lifetime+time.Millisecond), "a"); ok {
		t.Errorf("got %v after its lifetime", v)
	}
	table.Put(start.Add(time.Minute), "a", origin.Origin{Version: "v2"})
	if v, _ := table.Get(start.Add(time.Minute), "a"); v.Version != "v2" {
		t.Errorf("got %v, want v2", v)
	}
}

// unnamed is the origin of a stream whose version isn't known yet.
var unnamed = origin.Origin{Service: "s", Presumed: origin.Incarnation{Endpoint: "e", StartUnixMs: 2}}

// TestTableIsCorrected guards against records that stay presumed, or known, though their
// relay has corrected them.
func TestTableIsCorrected(t *testing.T) {
	for name, c := range map[string]struct{ first, second, want origin.Origin }{
		"certain after presumed": {presumed, recorded, recorded},
		"presumed after certain": {recorded, presumed, recorded},
		"another version":        {presumed, other, presumed},
		"version after unnamed":  {unnamed, other, other},
		"unknown after presumed": {presumed, unknown, unknown},
		"unknown stays":          {unknown, recorded, unknown},
	} {
		var table origin.Table
		table.Put(start, "a", c.first)
		table.Put(start, "a", c.second)
		if got, _ := table.Get(start, "a"); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
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
