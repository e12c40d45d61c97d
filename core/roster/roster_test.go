package roster_test

import (
	"testing"
	"time"

	"wigeonplank.example/core/roster"
)

// FuzzParse reads foreign bytes as a list: no panic, and a list that is
// accepted names each instance once.
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
			t.Fatalf("%d members of %d instances", n, len(l.Instances))
		}
	})
}
