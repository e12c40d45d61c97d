package peer_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/peer"
)

// TestKeepersOfStreams guards against many streams that are forgotten together: those of
// one set of keepers, or all whose keepers are in the zones that are lost.
func TestKeepersOfStreams(t *testing.T) {
	const streams = 1000
	f := newFleet(68)
	f.run(8 * time.Second)
	keepers := f.relays[3].Keepers(f.now)
	if len(keepers) != 12 {
		t.Fatalf("%d keepers, want 12", len(keepers))
	}
	zones := make(map[string]bool)
	for _, m := range keepers {
		zones[m.Zone] = true
	}
	load := make(map[string]int)
	for i := range streams {
		order := peer.OrderKeepers(keepers, fmt.Sprint("stream-", i))
		first := make(map[string]bool)
		for _, m := range order[:len(zones)] {
			first[m.Zone] = true
		}
		if len(first) != len(zones) {
			t.Errorf("the first %d keepers of stream %d are in %d zones", len(zones), i, len(first))
		}
		for _, m := range order[:peer.KeepersPerStream] {
			load[m.Instance]++
		}
	}
	for _, m := range keepers {
		if n := load[m.Instance]; n < streams/4 || n > streams*9/10 && countZone(keepers, m.Zone) > 1 {
			t.Errorf("%s of %s remembers %d of %d streams", m.Instance, m.Zone, n, streams)
		}
	}
}

func countZone(list []peer.Member, zone string) int {
	n := 0
	for _, m := range list {
		if m.Zone == zone {
			n++
		}
	}
	return n
}
