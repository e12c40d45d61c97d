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
		endpoints := make([]*fleet.Endpoint, n)
		for i := range endpoints {
			endpoints[i] = &fleet.Endpoint{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%36), Slots: 64, State: fleet.StateReady}
		}
		svc := &fleet.Service{Name: "s"}
		for name, affinity := range map[string]uint64{"load": 0, "affinity": 7} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				var p pick.Picker
				now := time.Unix(0, 0)
				for range b.N {
					p.Pick(now, svc, endpoints, pick.Criteria{Zone: "z1", Affinity: affinity})
				}
			})
		}
	}
}
