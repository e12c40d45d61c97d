package sets

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

type testSettings struct {
	Name  string `yaml:"name"`
	Limit int    `yaml:"limit"`
}

// TestReload guards against a daemon that applies a part of its changed settings, or reports a file that it
// can't use again and again.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("name: a\nlimit: 1\n")
	l, err := Open(file, func(a, b *testSettings) string {
		if a.Name != b.Name {
			return "name"
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	var restart *RestartError
	for _, step := range []struct {
		what   string
		change func()
		keys   []string
		failed bool
		limit  int
	}{
		{"unchanged", func() {}, nil, false, 1},
		{"a limit", func() { write("name: a\nlimit: 2\n") }, []string{"limit"}, false, 2},
		{"a fixed key as well", func() { write("name: b\nlimit: 3\n") }, nil, true, 2},
		{"the same once more", func() {}, nil, false, 2},
		{"an unknown key", func() { write("name: a\nlimit: 3\noops: 1\n") }, nil, true, 2},
		{"no file", func() { _ = os.Remove(file) }, nil, true, 2}, // it is there
		{"still no file", func() {}, nil, false, 2},
		{"back, with a limit", func() { write("name: a\nlimit: 4\n") }, []string{"limit"}, false, 4},
	} {
		step.change()
		keys, err := l.Reload()
		if !slices.Equal(keys, step.keys) || (err != nil) != step.failed || l.Get().Limit != step.limit {
			t.Errorf("%s: keys %q, error %v, limit %d", step.what, keys, err, l.Get().Limit)
		}
		if step.what == "a fixed key as well" && (!errors.As(err, &restart) || restart.Key != "name") {
			t.Errorf("%s: %v", step.what, err)
		}
	}
}
