package origin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

// viewOf returns a view of the endpoints in a list of ID:VERSION, in which a minus before
// the ID stands for a draining endpoint.
func viewOf(list string) *fleet.View {
	var change fleet.Change
	for f := range strings.FieldsSeq(list) {
		id, version, _ := strings.Cut(f, ":")
		e := &fleet.Endpoint{ID: strings.TrimPrefix(id, "-"), Service: "s", Version: version, State: fleet.StateReady}
		if e.ID != id {
			e.State = fleet.StateDraining
		}
		change.Put = append(change.Put, e)
	}
	v := fleet.View{}.WithChange(change)
	return &v
}

// TestMissingEndpointsDontCount guards against streams that begin at a version of which the
// store has lost the endpoints in an outage.
func TestMissingEndpointsDontCount(t *testing.T) {
	view := viewOf("a:v1 b:v2").WithChange(fleet.Change{Missing: map[string]time.Time{"b": start.Add(time.Second)}})
	var v origin.Versions
	v.Observe(&view)
	for i := range 100 {
		if version, ok := v.Choose("s", fmt.Sprint(i)); !ok || version != "v1" {
			t.Fatalf("a stream begins at %q while the store lists v1 alone", version)
		}
	}
}

// TestChooseByWeight guards against streams that begin at versions out of proportion to the
// endpoints that the latest view lists.
func TestChooseByWeight(t *testing.T) {
	var v origin.Versions
	v.Observe(viewOf("a:v1 b:v1 c:v3"))
	v.Observe(viewOf("a:v1 b:v2 c:v2 d:v2 -e:v1"))
	n := make(map[string]int)
	for i := range 10_000 {
		version, _ := v.Choose("s", fmt.Sprint(i))
		n[version]++
	}
	if n["v1"] < 2300 || n["v1"] > 2700 || n["v1"]+n["v2"] != 10_000 {
		t.Errorf("10000 streams began at %v, want a quarter at v1 and the rest at v2", n)
	}
	if version, ok := v.Choose("other", "1"); ok {
		t.Errorf("a service without endpoints has version %q", version)
	}
}

// TestChooseAsTheFormerRelease guards against a choice that differs from that of the former
// release, whose relays compute the versions of streams again during a roll.
func TestChooseAsTheFormerRelease(t *testing.T) {
	var v origin.Versions
	v.Observe(viewOf("a:v1 b:v1 c:v2 d:v3"))
	const want = "v1 v1 v1 v2 v3 v3 v1 v3 v1 v2 v3 v1 "
	got := ""
	for i := range 12 {
		version, _ := v.Choose("s", fmt.Sprint("stream-", i))
		got += version + " "
	}
	if got != want {
		t.Errorf("streams begin at %s, want %s", got, want)
	}
}
