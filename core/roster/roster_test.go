package roster_test

import (
	"testing"
	"time"

	"wigeonplank.example/core/roster"
)

// FuzzParse checks that Parse doesn't panic and accepts no list that contains an
// instance twice.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version": 1, "instances": [{"id": "i", "zone": "z", "state": "live", "agent": "127.0.0.1:1"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := roster.Parse(raw)
		if err != nil {
			return
		}
		var r roster.Roster
		r.Apply(time.Unix(0, 0), l)
		if n := len(r.Members()); n != len(l.Instances) {
			t.Fatalf("roster has %d members, list has %d instances", n, len(l.Instances))
		}
	})
}
