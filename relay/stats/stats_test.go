package stats_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/base/admin"
	"wigeonplank.example/relay/stats"
)

// TestNamesAreBounded guards against unbounded memory use: each route with a
// label of its own has a histogram.
func TestNamesAreBounded(t *testing.T) {
	m := &stats.Meters{Registry: metrics.NewRegistry()}
	for i := range 1000 {
		m.RecordRequest(fmt.Sprint("r", i), fmt.Sprint("t", i), 200, time.Millisecond)
	}
	var out bytes.Buffer
	admin.WriteMetrics(&out, m.Registry)
	if n := strings.Count(out.String(), "wigeonplank_relay_total_us_count{"); n != 65 {
		t.Errorf("%d histograms of routes, want 65: 64 routes and one for all others", n)
	}
	if want := `wigeonplank_relay_requests_total{route="other",status="200"} 936`; !strings.Contains(out.String(), want) {
		t.Errorf("metrics lack %s", want)
	}
}
