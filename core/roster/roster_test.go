package roster_test

import (
	"errors"
	"testing"
	"time"

	"wigeonplank.example/core/roster"
)

// FuzzParse checks that Parse doesn't panic and accepts no list that contains an
// instance twice.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version": 1, "instances": [{"id": "i", "zone": "z", "state": "live", "agent": "127.0.0.1:1"}]}`))
	f.Add([]byte(`{"version": 2, "instances": [7, {"id": "i", "zone": "z", "state": "live", "agent": "127.0.0.1:0"}]}`))
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

// TestOddInstance guards against one instance that can't be read and keeps the others from
// being followed, and against a damaged list that is mistaken for a smaller fleet.
func TestOddInstance(t *testing.T) {
	const first = `{"version": 1, "instances": [{"id": "a", "zone": "z", "state": "live", "agent": "127.0.0.1:1"}, {"id": "b", "zone": "z", "state": "live", "agent": "127.0.0.1:2"}]}`
	for _, odd := range []string{
		`7`, `null`, `{"id": 7}`, `{"id": "b", "zone": "z", "state": "odd", "agent": "127.0.0.1:2"}`, `{"id": "b", "zone": "z", "state": "live", "agent": "127.0.0.1:65536"}`,
		`{"id": "b", "zone": "z", "state": "live", "agent": "0.0.0.0:2"}`, `{"id": "b", "zone": "z", "state": "live", "agent": "127.0.0.1:0"}`, `{"id": "b", "zone": 1e400}`,
	} {
		var r roster.Roster
		for _, raw := range []string{first, `{"version": 2, "instances": [{"id": "a", "zone": "z", "state": "leaving", "agent": "127.0.0.1:1"}, ` + odd + `, {"id": "c", "zone": "z", "state": "live", "agent": "127.0.0.1:3"}]}`} {
			l, err := roster.Parse([]byte(raw))
			var damage *roster.DamageError
			if errors.As(err, &damage) != (l.Version == 2) || l.Damaged != (damage != nil) || (err != nil && damage == nil) {
				t.Fatalf("%s: %v, damaged: %v", odd, err, l.Damaged)
			}
			r.Apply(time.Unix(0, 0), l)
		}
		got := r.Members()
		if len(got) != 3 || got[0].State != roster.StateLeaving || got[1].Agent != "127.0.0.1:2" || got[2].ID != "c" {
			t.Errorf("%s: %+v", odd, got)
		}
		l, err := roster.Parse([]byte(`{"version": 3, "instances": [{"id": "c", "zone": "z", "state": "live", "agent": "127.0.0.1:3"}]}`))
		if r.Apply(time.Unix(1, 0), l); err != nil || len(r.Members()) != 1 {
			t.Errorf("%s: %+v after a list without damage, %v", odd, r.Members(), err)
		}
	}
}
