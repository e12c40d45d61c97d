package speed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/speed"
)

var now = time.Unix(1_000_000, 0)

func endpoint(i int, incarnation int64) *fleet.Endpoint {
	return &fleet.Endpoint{ID: fmt.Sprint("e-", i), Service: "s", Slots: 4, StartUnixMs: incarnation}
}

// learned returns a table in which ten endpoints take 100 ms, and the one of index 0 takes
// 300 ms, at a pace that alternates between 1 and 2.5.
func learned() *speed.Table {
	var t speed.Table
	for k := range 100 {
		pace := []float64{1, 1, 2.5}[k%3]
		for i := range 11 {
			took := 100.0
			if i == 0 {
				took = 300
			}
			t.Record(endpoint(i, 1), speed.Sample{Took: time.Duration(took * pace * float64(time.Millisecond)), Pace: pace})
		}
	}
	return &t
}

func checkNear(t *testing.T, what string, got time.Duration, wantMs, tolerance float64) {
	t.Helper()
	if ms := float64(got) / float64(time.Millisecond); math.Abs(ms-wantMs) > tolerance*wantMs {
		t.Errorf("%s: predicted %.0f ms, want %.0f", what, ms, wantMs)
	}
}

// TestPrediction guards against predictions that leave out the pace, the requests ahead,
// or the age of the pace.
func TestPrediction(t *testing.T) {
	table := learned()
	e := endpoint(1, 1)
	usual := math.Pow(2.5, 1.0/3) // mean of the paces
	checkNear(t, "no pace", table.Predict(now, e, 0), 100*usual, 0.05)
	checkNear(t, "slow endpoint", table.Predict(now, endpoint(0, 1), 0), 300*usual, 0.15)
	for pace, want := range map[float64]float64{1: 100, 2.5: 250} {
		table.RecordPace(now, e, pace)
		checkNear(t, "fresh pace", table.Predict(now, e, 0), want, 0.1)
		checkNear(t, "six ahead at four slots", table.Predict(now, e, 6), want*1.75, 0.1)
		checkNear(t, "pace 0.6 s old", table.Predict(now.Add(speed.MaxReportAge), e, 0), 100*usual, 0.05)
	}
}

// TestRestartForgets guards against a new incarnation that is judged by the times of the
// former one, and against late answers of the former one that count for the new one.
func TestRestartForgets(t *testing.T) {
	table := learned()
	median := table.Predict(now, endpoint(20, 1), 0)
	if got := table.Predict(now, endpoint(0, 2), 0); got != median {
		t.Errorf("restarted: predicted %v, want the median %v", got, median)
	}
	table.Record(endpoint(0, 1), speed.Sample{Took: time.Hour})
	table.RecordPace(now, endpoint(0, 1), 100)
	if got := table.Predict(now, endpoint(0, 2), 0); got != median {
		t.Errorf("late answer of the former incarnation: predicted %v, want %v", got, median)
	}
}

// TestOneOutlier guards against an estimate that one slow answer spoils.
func TestOneOutlier(t *testing.T) {
	table := learned()
	before := table.Predict(now, endpoint(1, 1), 0)
	table.Record(endpoint(1, 1), speed.Sample{Took: time.Hour})
	if after := table.Predict(now, endpoint(1, 1), 0); after > before*11/10 {
		t.Errorf("predicted %v after an answer of 1 h, %v before", after, before)
	}
}

// TestPruned guards against estimates that outlive their endpoints.
func TestPruned(t *testing.T) {
	table := learned()
	table.Prune(map[string]*fleet.Endpoint{"e-1": endpoint(1, 1)})
	if got := table.Get(now, endpoint(0, 1)).Samples; got != 0 {
		t.Errorf("%d samples of an endpoint that isn't listed, want 0", got)
	}
	table.Prune(nil)
	if table.Known("s") {
		t.Error("a service without endpoints is known")
	}
}
