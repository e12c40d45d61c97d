package pick_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
)

// BenchmarkPick measures one choice among up to 12,000 endpoints, the fleet size
// that the design aims at.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 1000, 12_000} {
		endpoints := benchEndpoints(n)
		svc := &fleet.Service{Name: "s"}
		for name, c := range map[string]pick.Criteria{"load": {}, "affinity": {Affinity: 7}, "time": {ByTime: true}} {
			c.Zone = "z1"
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				var p pick.Picker
				now := time.Unix(0, 0)
				for range b.N {
					p.Pick(now, svc, endpoints, c)
				}
			})
		}
	}
}

func benchEndpoints(n int) []*fleet.Endpoint {
	endpoints := make([]*fleet.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = &fleet.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Zone: fmt.Sprint("z", i%36), Slots: 64, State: fleet.StateReady}
	}
	return endpoints
}
