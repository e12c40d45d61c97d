package repl_test

import (
	"testing"

	"wigeonplank.example/core/repl"
)

// TestIsComplete guards against a history that is taken for whole although its beginning is missing.
func TestIsComplete(t *testing.T) {
	put := func(key string, created, revision int64) repl.Entry {
		return repl.Entry{Key: key, Created: created, Revision: revision}
	}
	removal := func(key string, revision int64) repl.Entry {
		return repl.Entry{Key: key, Revision: revision, Removed: true}
	}
	for name, c := range map[string]struct {
		changes []repl.Entry
		want    bool
	}{
		"whole":                            {[]repl.Entry{put("a", 2, 2), put("b", 3, 3), put("a", 2, 4), removal("a", 5), put("a", 6, 6)}, true},
		"begins with a later change":       {[]repl.Entry{put("a", 2, 4)}, false},
		"removes what it doesn't have":     {[]repl.Entry{put("b", 3, 3), removal("a", 5)}, false},
		"a removal is missing":             {[]repl.Entry{put("a", 2, 2), put("a", 6, 6)}, false},
		"a creation is missing in it":      {[]repl.Entry{put("a", 2, 2), removal("a", 3), put("a", 5, 6)}, false},
		"the creation isn't told at all":   {[]repl.Entry{put("a", 0, 2)}, false},
		"nothing was ever written":         {nil, true},
		"removed twice, created only once": {[]repl.Entry{put("a", 2, 2), removal("a", 3), removal("a", 4)}, false},
	} {
		if got := repl.IsComplete(c.changes); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
