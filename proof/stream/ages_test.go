package stream

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestAges guards against ages that are taken from other lines than those they are in, and
// against a report that keeps silent about what isn't logged.
func TestAges(t *testing.T) {
	const none = `  age of the view at which streams began: not logged
  time to find a record (150 ms at most): not logged
  from the first event to its acknowledged record: not logged`
	const some = `  age of the view at which streams began: p50 20 ms, p99 1930 ms, worst 1930 ms of 2
  time to find a record (150 ms at most), found: p50 7 ms, p99 7 ms, worst 7 ms of 1
  from the first event to its acknowledged record: p50 3 ms, p99 3 ms, worst 3 ms of 1`
	for want, lines := range map[string]string{
		none: `{"event":"attempt_begun","request":"a","event_id":-1}
{"event":"request_done","took_ms":9}`,
		some: `{"event":"attempt_begun","request":"a","event_id":-1,"view_age_ms":20.4}
{"event":"attempt_begun","request":"b","event_id":-1,"view_age_ms":1930.5}
{"event":"attempt_begun","request":"c","event_id":7,"view_age_ms":50000}
{"event":"origin_sought","request":"d","stream":"a","result":"found","asked":3,"answered":1,"took_ms":7.2}
{"event":"origin_recorded","request":"a","acked_ms":3.1}`,
	} {
		var ages Ages
		for line := range strings.Lines(lines) {
			var l logLine
			if err := json.Unmarshal([]byte(line), &l); err != nil {
				t.Fatal(err)
			}
			ages.add(l)
		}
		if got := ages.String(); got != want {
			t.Errorf("got\n%s\nwant\n%s", got, want)
		}
	}
}
