package origin_test

import (
	"testing"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

// TestSoleVersion guards against streams that go on at another version after a loss of everything, as their
// service seems to have had one version only.
func TestSoleVersion(t *testing.T) {
	entry := func(id, service, version string, born int64) *fleet.Endpoint {
		return &fleet.Endpoint{ID: id, Service: service, Version: version, StartUnixMs: born}
	}
	for name, c := range map[string]struct {
		endpoints []*fleet.Endpoint
		want      string
	}{
		"one version":                  {[]*fleet.Endpoint{entry("a", "s", "v1", 1), entry("b", "s", "v1", 1), entry("a", "s", "v1", 2)}, "v1"},
		"another service":              {[]*fleet.Endpoint{entry("a", "s", "v1", 1), entry("b", "t", "v2", 1), entry("c", "t", "v2", 0)}, "v1"},
		"back as another version":      {[]*fleet.Endpoint{entry("a", "s", "v1", 1), entry("a", "s", "v2", 2)}, ""},
		"replaced by another version":  {[]*fleet.Endpoint{entry("a", "s", "v1", 1), entry("b", "s", "v2", 2)}, ""},
		"doesn't tell its incarnation": {[]*fleet.Endpoint{entry("a", "s", "v1", 1), entry("b", "s", "v1", 0)}, ""},
		"none":                         {nil, ""},
	} {
		h := origin.History{Endpoints: c.endpoints}
		if got, ok := h.SoleVersion("s"); got != c.want || ok != (c.want != "") {
			t.Errorf("%s: %q, %v, want %q", name, got, ok, c.want)
		}
	}
	h := origin.History{Endpoints: []*fleet.Endpoint{entry("a", "s", "v1", 1)}}
	if !h.HasAll([]*fleet.Endpoint{entry("a", "s", "v1", 1)}) || h.HasAll([]*fleet.Endpoint{entry("a", "s", "v1", 2)}) {
		t.Error("an incarnation that is listed and isn't in the history is taken for known, or the reverse")
	}
}

// TestLeadsOnlyTo guards against a stream that goes on at a service at which it hasn't begun, as its route
// has moved.
func TestLeadsOnlyTo(t *testing.T) {
	config := func(targets ...string) *fleet.Config {
		r := &fleet.Route{Name: "r", Host: "h", Prefix: "/x/", Kind: fleet.KindStream, Resumable: true}
		services := make([]*fleet.Service, 0, len(targets))
		for _, s := range targets {
			r.Targets = append(r.Targets, fleet.Target{Service: s, Weight: 1})
			services = append(services, &fleet.Service{Name: s})
		}
		c, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Routes: []*fleet.Route{r}, Services: services})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for name, c := range map[string]struct {
		configs []*fleet.Config
		want    bool
	}{
		"always the same": {[]*fleet.Config{config("s"), config("s")}, true},
		"moved":           {[]*fleet.Config{config("t"), config("s")}, false},
		"one of two":      {[]*fleet.Config{config("s", "t")}, false},
	} {
		h := origin.History{Configs: c.configs}
		if got := h.LeadsOnlyTo("s", "h", "/x/1"); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
