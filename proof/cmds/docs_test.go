package cmds_test

import (
	"os"
	"path/filepath"
	"testing"

	"wigeonplank.example/proof/cmds"
)

// TestReferenceIsCurrent checks that the generated reference pages in docs match
// the definitions in the code.
func TestReferenceIsCurrent(t *testing.T) {
	root := filepath.Join("..", "..")
	pages, err := cmds.Pages(root)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range pages {
		got, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("%s doesn't match the definitions: run `make docs`", name)
		}
	}
}
