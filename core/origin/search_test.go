package origin_test

import (
	"testing"
	"time"

	"wigeonplank.example/core/origin"
)

// TestSearch guards against streams that are refused for good because answers were late or
// missing, and against a record that wins over its correction.
func TestSearch(t *testing.T) {
	const age = 5 * time.Second
	known := func(o origin.Origin) *origin.Answer {
		return &origin.Answer{Known: true, Origin: o, Since: time.Minute}
	}
	none := &origin.Answer{Since: time.Minute}
	fresh := &origin.Answer{Since: time.Second}
	former := &origin.Answer{} // of a relay of the former release
	for name, c := range map[string]struct {
		answers []*origin.Answer // in the order of keepers; nil: none yet
		after   time.Duration    // from the answers
		want    origin.Result
		version string
		waits   bool
		asked   int
	}{
		"no answer":                          {[]*origin.Answer{nil, nil, nil, nil}, 0, origin.Unanswered, "", true, 0},
		"one of two answers":                 {[]*origin.Answer{none, nil, none, none}, time.Second, origin.Unanswered, "", true, 0},
		"all answers":                        {[]*origin.Answer{none, none, nil, nil}, 0, origin.Unrecorded, "", false, 0},
		"another one may answer":             {[]*origin.Answer{none, none, nil, nil}, 0, origin.Unanswered, "", true, 3},
		"another one doesn't answer":         {[]*origin.Answer{none, none, nil, nil}, time.Second, origin.Unanswered, "", true, 3},
		"all answers of the former release":  {[]*origin.Answer{former, former, nil, nil}, 0, origin.Unrecorded, "", false, 0},
		"a fresh one, and the next is late":  {[]*origin.Answer{none, fresh, nil, nil}, 0, origin.Unanswered, "", true, 0},
		"a fresh one, and the next":          {[]*origin.Answer{none, fresh, none, nil}, 0, origin.Unrecorded, "", false, 0},
		"all fresh":                          {[]*origin.Answer{fresh, fresh, fresh, fresh}, 0, origin.Forgotten, "", false, 0},
		"all fresh but one that isn't asked": {[]*origin.Answer{fresh, fresh, fresh, none}, 0, origin.Unrecorded, "", false, 0},
		"a fresh one and a former one":       {[]*origin.Answer{fresh, former, former, nil}, 0, origin.Unrecorded, "", false, 0},
		"one knows, the other is late":       {[]*origin.Answer{known(recorded), nil, nil, nil}, 0, origin.Unanswered, "", true, 0},
		"one knows, the other is too late":   {[]*origin.Answer{known(recorded), nil, nil, nil}, 50 * time.Millisecond, origin.Found, "v1", false, 0},
		"one knows, the other doesn't":       {[]*origin.Answer{known(recorded), none, nil, nil}, 0, origin.Found, "v1", false, 0},
		"only the last one knows":            {[]*origin.Answer{nil, nil, nil, known(recorded)}, time.Second, origin.Found, "v1", false, 0},
		"corrected":                          {[]*origin.Answer{known(recorded), known(unknown), nil, nil}, 0, origin.Unknown, "", false, 0},
		"corrected, heard first":             {[]*origin.Answer{known(unknown), known(recorded), nil, nil}, 0, origin.Unknown, "", false, 0},
		"contradictory":                      {[]*origin.Answer{known(recorded), known(other), nil, nil}, 0, origin.Unknown, "", false, 0},
		"certain and presumed":               {[]*origin.Answer{known(presumed), known(recorded), nil, nil}, 0, origin.Found, "v1", false, 0},
		"certain and unnamed":                {[]*origin.Answer{known(unnamed), known(recorded), nil, nil}, 0, origin.Found, "v1", false, 0},
		"two incarnations":                   {[]*origin.Answer{known(unnamed), known(presumed), nil, nil}, 0, origin.Unknown, "", false, 0},
	} {
		s := origin.Search{MaxAge: age, Want: 2, Asked: c.asked}
		for i, a := range c.answers {
			if a != nil {
				s.Add(start, keepers[i], *a)
			}
		}
		f, ok := s.Decide(start.Add(c.after), keepers)
		if f.Result != c.want || ok == c.waits || f.Origin.Version != c.version {
			t.Errorf("%s: %+v, %v, want %s, %q", name, f, ok, c.want, c.version)
		}
		if f.Result == origin.Found && name == "certain and presumed" && f.Origin != recorded {
			t.Errorf("%s: %+v, want the certain record", name, f)
		}
	}
}
