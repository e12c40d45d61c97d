package origin

import (
	"fmt"
	"slices"
	"testing"

	"wigeonplank.example/core/fleet"
)

// hostsView returns a view of engines, three to an availability zone, and of plain endpoints
// on hosts of their own. Engine first has left.
func hostsView(t *testing.T, engines, first int) *fleet.View {
	cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Routes: []*fleet.Route{
		{Name: "r", Host: "h", Prefix: "/", Kind: fleet.KindStream, Resumable: true, Targets: []fleet.Target{{Service: "engine"}}},
		{Name: "p", Host: "h", Prefix: "/p/", Kind: fleet.KindIdempotent, Targets: []fleet.Target{{Service: "plain"}}},
	}, Services: []*fleet.Service{{Name: "engine"}, {Name: "plain"}}})
	if err != nil {
		t.Fatal(err)
	}
	c := fleet.Change{}
	for i := first; i < engines; i++ {
		c.Put = append(c.Put, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "engine", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprint("z", i/3), State: fleet.StateDraining})
	}
	c.Put = append(c.Put, &fleet.Endpoint{ID: "p", Service: "plain", Addr: "10.0.9.9:80", Zone: "z9", State: fleet.StateReady})
	v := fleet.View{}.WithConfig(cfg).WithChange(c)
	return &v
}

// TestHosts guards against records at hosts without keepers, in one availability zone only,
// or at others whenever one endpoint leaves.
func TestHosts(t *testing.T) {
	all := Hosts(hostsView(t, 78, 0))
	if len(all) != MaxHosts {
		t.Fatalf("%d hosts, want %d", len(all), MaxHosts)
	}
	zones := make(map[string]bool)
	for _, h := range all {
		zones[h.Zone] = true
		if h.IP == "10.0.9.9" {
			t.Error("a host without an engine was chosen")
		}
	}
	if len(zones) != MaxHosts {
		t.Errorf("hosts of %d zones, want %d", len(zones), MaxHosts)
	}
	fewer := Hosts(hostsView(t, 78, 9)) // three zones have left
	kept := 0
	for _, h := range all {
		if slices.Contains(fewer, h) {
			kept++
		}
	}
	if kept < MaxHosts-4 {
		t.Errorf("%d of %d hosts stay as 9 of 78 leave", kept, MaxHosts)
	}
	if got := Hosts(&fleet.View{}); len(got) != 0 {
		t.Errorf("hosts without a configuration: %v", got)
	}
}
