package conf_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wigeonplank.example/core/conf"
)

// TestBadDocuments parses the documents in testdata/bad. The first line of each
// is a comment with the expected error, which must tell an operator what to fix.
func TestBadDocuments(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "bad", "*.yaml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no test documents: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			first, _, _ := strings.Cut(string(raw), "\n")
			want := strings.TrimPrefix(first, "# ")
			_, err = conf.Parse(raw)
			var inv *conf.InvalidError
			if !errors.As(err, &inv) {
				t.Fatalf("got %v, want an InvalidError", err)
			}
			if inv.Error() != want {
				t.Errorf("got  %s\nwant %s", inv, want)
			}
		})
	}
}

// TestEncodedDocumentIsValid parses the example documents after they were
// parsed and encoded.
func TestEncodedDocumentIsValid(t *testing.T) {
	for _, name := range []string{"lone_star", "abay"} {
		raw, err := os.ReadFile(filepath.Join("..", "..", "examples", name, "config.yaml"))
		if err != nil {
			t.Fatal(err)
		}
		d, err := conf.Parse(raw)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		encoded, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conf.Parse(encoded); err != nil {
			t.Errorf("%s: parse the encoded document: %v", name, err)
		}
	}
}

// FuzzParse checks that Parse doesn't panic and accepts no document without a
// revision.
func FuzzParse(f *testing.F) {
	f.Add(document(1, 1))
	f.Add([]byte("revision: 1\nzones: [{name: a, state: serving}]"))
	f.Add([]byte("{}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := conf.Parse(raw)
		if err == nil && d.Revision == 0 {
			t.Fatal("a document without a revision was accepted")
		}
	})
}
