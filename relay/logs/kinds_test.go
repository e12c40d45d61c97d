package logs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wigeonplank.example/relay/logs"
)

// TestCatalogue compares the fields that the relay's code writes on each kind of
// line with the catalogue.
func TestCatalogue(t *testing.T) {
	written := make(map[string][]string)
	err := filepath.WalkDir("..", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.Contains(name, "logs") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			return err
		}
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok {
				collect(fn, written)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, k := range logs.All() {
		names[k.Name] = true
		if k == logs.LinesOmitted {
			continue
		}
		got := written[k.Name]
		if got == nil {
			t.Errorf("%s is never written", k.Name)
		}
		for _, f := range k.Fields {
			if !slices.Contains(got, f) {
				t.Errorf("%s has no %s in the code", k.Name, f)
			}
		}
		for _, f := range got {
			if !slices.Contains(k.Fields, f) {
				t.Errorf("%s has no %s in the catalogue", k.Name, f)
			}
		}
	}
	used := make(map[string]bool)
	for _, k := range logs.All() {
		for _, f := range k.Fields {
			used[f] = true
			if _, ok := logs.Fields[f]; !ok {
				t.Errorf("field %s of %s is not described", f, k.Name)
			}
		}
	}
	for f := range logs.Fields {
		if !used[f] {
			t.Errorf("field %s belongs to no kind", f)
		}
	}
}

// collect adds the fields of the lines that a function writes. A function that
// begins a line in one statement and goes on in others writes only one kind.
func collect(fn *ast.FuncDecl, written map[string][]string) {
	kinds := make(map[string]int)
	ast.Inspect(fn, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		chain, kind := fields(call)
		if kind != "" && kinds[kind] < len(chain) {
			kinds[kind] = len(chain)
		}
		if kind != "" {
			written[kind] = append(written[kind], chain...)
		}
		return true
	})
	if len(kinds) != 1 {
		return
	}
	for kind := range kinds {
		ast.Inspect(fn, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				if root, chain := line(call); root == "line" {
					written[kind] = append(written[kind], chain...)
				}
			}
			return true
		})
	}
}

// fields returns the fields of a chain of calls that begins with a kind.
func fields(call *ast.CallExpr) (chain []string, kind string) {
	for {
		if len(call.Args) == 1 {
			if sel, ok := call.Args[0].(*ast.SelectorExpr); ok {
				if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "logs" {
					for _, k := range logs.All() {
						if goName(k.Name) == sel.Sel.Name {
							return chain, k.Name
						}
					}
				}
			}
		}
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return nil, ""
		}
		chain = append(chain, field(sel.Sel.Name, call)...)
		if call, ok = sel.X.(*ast.CallExpr); !ok {
			return nil, ""
		}
	}
}

// line returns the variable with which a chain of calls begins.
func line(call *ast.CallExpr) (root string, chain []string) {
	for {
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return "", nil
		}
		chain = append(chain, field(sel.Sel.Name, call)...)
		if id, ok := sel.X.(*ast.Ident); ok {
			return id.Name, chain
		}
		if call, ok = sel.X.(*ast.CallExpr); !ok {
			return "", nil
		}
	}
}

func field(method string, call *ast.CallExpr) []string {
	if method == "Err" {
		return []string{"error"}
	}
	if len(call.Args) != 2 {
		return nil
	}
	lit, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return nil
	}
	name, err := strconv.Unquote(lit.Value)
	if err != nil {
		return nil
	}
	return []string{name}
}

func goName(name string) string {
	var b strings.Builder
	for w := range strings.SplitSeq(name, "_") {
		b.WriteString(strings.ToUpper(w[:1]) + w[1:])
	}
	return b.String()
}
