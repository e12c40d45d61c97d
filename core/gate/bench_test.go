package gate_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
)

func BenchmarkOfferAndFinish(b *testing.B) {
	for _, busy := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(busy), func(b *testing.B) {
			now := time.Unix(1000, 0)
			g := gate.New(gate.Settings{WarmLimit: busy + 1, ColdLimit: busy + 1}, now)
			g.Observe(now, gate.LoadReport{At: now})
			for i := range busy {
				g.Submit(now, gate.Work{ID: runs.ID{Seq: uint64(i)}, Budget: time.Second})
			}
			id := runs.ID{Entry: 1, Seq: 1}
			b.ReportAllocs()
			for b.Loop() {
				g.Submit(now, gate.Work{ID: id, Budget: time.Second})
				g.Finish(now, id, gate.Completion{ServiceTime: time.Millisecond, Units: 1, OK: true})
			}
		})
	}
}
