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

// TestCatalogue checks that the relay's code writes exactly the fields that the
// catalogue lists for each event, and that each field is described.
func TestCatalogue(t *testing.T) {
	events := eventNames(t)
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
				collectFields(t, fn, events, written)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range logs.All() {
		if e == logs.LinesOmitted {
			continue // written by package logs itself
		}
		fields := written[e.Name]
		if fields == nil {
			t.Errorf("%s is never written", e.Name)
		}
		for _, f := range e.Fields {
			if !slices.Contains(fields, f) {
				t.Errorf("field %s of %s is in the catalogue, but not written by the code", f, e.Name)
			}
		}
		for _, f := range fields {
			if !slices.Contains(e.Fields, f) {
				t.Errorf("field %s of %s is written by the code, but not in the catalogue", f, e.Name)
			}
		}
	}
	used := make(map[string]bool)
	for _, e := range logs.All() {
		for _, f := range e.Fields {
			used[f] = true
			if _, ok := logs.Fields[f]; !ok {
				t.Errorf("field %s of %s is not described", f, e.Name)
			}
		}
	}
	for f := range logs.Fields {
		if !used[f] {
			t.Errorf("field %s is described, but belongs to no event", f)
		}
	}
}

// TestEventNames guards the names of events, which operators' tools match, against
// accidental changes.
func TestEventNames(t *testing.T) {
	want := []string{
		"started", "stopping", "stopped", "settings_applied", "settings_rejected", "lines_omitted", "accept_failed", "process_stalled", "read_late", "store_lost",
		"store_regained", "history_gone", "store_restored", "view_learnt", "changes_overdue", "config_applied", "config_rejected", "zone_drained",
		"zone_returned", "endpoint_seen", "endpoint_gone", "endpoint_missing", "endpoint_rejected", "endpoint_suspected",
		"endpoint_cleared", "endpoint_doubted", "endpoint_limited", "endpoint_leaving", "endpoint_closed", "limit_ended", "member_heard", "member_forgotten", "link_up", "link_down", "link_lost",
		"endpoint_crashed", "quarantined", "on_probation", "quarantine_trial", "quarantine_ended", "knowledge_rejected", "request_rejected", "handler_panicked",
		"request_done", "stages_estimated", "stages_done", "stages_again", "stage_call", "release_failed", "attempt_begun",
		"attempt_done", "attempt_silent", "origin_concluded", "origin_sought", "origin_stored", "retry_decided",
	}
	got := make([]string, 0, len(want))
	for _, e := range logs.All() {
		got = append(got, e.Name)
	}
	if !slices.Equal(got, want) {
		t.Errorf("events %q, want %q", got, want)
	}
}

// eventNames returns the name of each event in the catalogue by the name of the
// Go variable that holds its type.
func eventNames(t *testing.T) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "kinds.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	events := make(map[string]string)
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Names) != 1 || len(spec.Values) != 1 {
			return true
		}
		call, ok := spec.Values[0].(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		if name, ok := stringLiteral(call.Args[0]); ok {
			events[spec.Names[0].Name] = name
		}
		return true
	})
	if len(events) != len(logs.All()) {
		t.Fatalf("%d variables found for %d events", len(events), len(logs.All()))
	}
	return events
}

// collectFields adds the fields that a function writes to written, by event
// name. A line is either written by one chain of calls, or held in a variable to
// which later chains add fields.
func collectFields(t *testing.T, fn *ast.FuncDecl, events map[string]string, written map[string][]string) {
	t.Helper()
	eventOf := make(map[string]string) // event name by the name of the variable that holds its line
	ast.Inspect(fn, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			if len(n.Lhs) != 1 || len(n.Rhs) != 1 {
				return true
			}
			v, ok := n.Lhs[0].(*ast.Ident)
			if !ok {
				return true
			}
			call, ok := n.Rhs[0].(*ast.CallExpr)
			if !ok {
				return true
			}
			event, _ := eventChain(call, events)
			if event == "" {
				return true
			}
			if old := eventOf[v.Name]; old != "" && old != event {
				t.Errorf("%s: variable %s holds lines of %s and of %s", fn.Name.Name, v.Name, old, event)
			}
			eventOf[v.Name] = event
		case *ast.CallExpr:
			if event, fields := eventChain(n, events); event != "" {
				written[event] = append(written[event], fields...)
			}
		}
		return true
	})
	ast.Inspect(fn, func(n ast.Node) bool {
		if call, ok := n.(*ast.CallExpr); ok {
			v, fields := variableChain(call)
			if event := eventOf[v]; event != "" {
				written[event] = append(written[event], fields...)
			}
		}
		return true
	})
}

// eventChain returns the event name and the fields of a chain of calls that
// begins with a type of event, such as l.Event(logs.Started).Str("zone", z). The
// event is empty for other calls.
func eventChain(call *ast.CallExpr, events map[string]string) (event string, fields []string) {
	for {
		if len(call.Args) == 1 {
			if sel, ok := call.Args[0].(*ast.SelectorExpr); ok {
				if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "logs" && events[sel.Sel.Name] != "" {
					return events[sel.Sel.Name], fields
				}
			}
		}
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return "", nil
		}
		fields = append(fields, fieldName(sel.Sel.Name, call)...)
		if call, ok = sel.X.(*ast.CallExpr); !ok {
			return "", nil
		}
	}
}

// variableChain returns the variable with which a chain of calls begins, and the
// fields that the chain adds. The variable is empty for other calls.
func variableChain(call *ast.CallExpr) (variable string, fields []string) {
	for {
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return "", nil
		}
		fields = append(fields, fieldName(sel.Sel.Name, call)...)
		if id, ok := sel.X.(*ast.Ident); ok {
			return id.Name, fields
		}
		if call, ok = sel.X.(*ast.CallExpr); !ok {
			return "", nil
		}
	}
}

// fieldName returns the name of the field that a call of a line's method adds,
// if any.
func fieldName(method string, call *ast.CallExpr) []string {
	if method == "Err" {
		return []string{"error"}
	}
	if len(call.Args) != 2 {
		return nil
	}
	if name, ok := stringLiteral(call.Args[0]); ok {
		return []string{name}
	}
	return nil
}

// stringLiteral returns the value of a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}
