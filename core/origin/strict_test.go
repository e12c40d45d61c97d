package origin_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/origin"
)

// TestUnrecorded guards against streams that go on at another version because a relay that
// knows only some seconds concludes from these, although the stream began at a relay which
// reached no other one and whose view may be of any age.
func TestUnrecorded(t *testing.T) {
	for name, c := range map[string]struct {
		observed   time.Duration // by this relay
		history    time.Duration // known from before; 0: none
		unrecorded bool
		want       bool
	}{
		"observed for long":                      {time.Minute, 0, false, true},
		"observed since before it began":         {15 * time.Second, 0, false, true},
		"and knows some time before":             {15 * time.Second, 20 * time.Second, false, true},
		"and knows all from before":              {29 * time.Second, 20 * time.Second, false, true},
		"has just started":                       {time.Second, 20 * time.Second, false, true},
		"has just started, others remember":      {time.Second, 20 * time.Second, true, true},
		"observed only since after it began":     {5 * time.Second, 0, false, false},
		"knows only some of its age":             {time.Second, 6 * time.Second, true, false},
		"observed for long, others remember too": {time.Minute, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var v origin.Versions
			v.Observe(start, viewOf(t, "a:v2:1h b:v2:1h"))
			if c.history > 0 {
				v.Recall(origin.History{Since: start.Add(-c.history), Added: origin.Additions{}})
			}
			now := start.Add(c.observed)
			for i := range 10 {
				s := streamOfAge(now, fmt.Sprint(i), streamAge)
				s.Unrecorded = c.unrecorded
				if version, ok := conclude(&v, now, s); ok != c.want || ok && version != "v2" {
					t.Fatalf("stream %d began at %q, known %v, want known %v", i, version, ok, c.want)
				}
			}
		})
	}
}

// TestUnrecordedByAnyView guards against streams that go on at another version because they
// count as begun by a view of their time, although a relay that should remember them doesn't.
func TestUnrecordedByAnyView(t *testing.T) {
	const listed = "a:v2:1h b:v2:1h d:v2:14s"
	var v origin.Versions
	v.Observe(start, viewOf(t, listed))
	v.Recall(historyOf(t, listed, "-c:v1:1h c +d:v2:14s"))
	now := start.Add(10 * time.Millisecond)
	known := make(map[bool]int)
	for i := range 100 {
		for _, unrecorded := range []bool{false, true} {
			s := streamOfAge(now, fmt.Sprint(i), 2*time.Second)
			s.Unrecorded = unrecorded
			if _, ok := conclude(&v, now, s); ok {
				known[unrecorded]++
			}
		}
	}
	if known[false] != 100 || known[true] == 100 {
		t.Errorf("%d of 100 streams are known, %d if a record is missing, want all and fewer", known[false], known[true])
	}
}
