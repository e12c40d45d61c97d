package cmds_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/wpctl/cmds"
)

const example = "../../examples/lone_star/config.yaml"

// run parses and executes a command line and returns its output.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	_, err := cmds.Parser(&out).ParseArgs(args)
	return out.String(), err
}

// writeChanged writes the example document with a change and returns the file's
// name.
func writeChanged(t *testing.T, change func(*conf.Document) *conf.Document) string {
	t.Helper()
	raw, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	d, err := conf.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	raw, err = change(d).Encode()
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "new.yaml")
	if err := os.WriteFile(name, raw, 0o644); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestCheckReportsLineAndAllowedValuesAsJSON(t *testing.T) {
	bad := writeChanged(t, func(d *conf.Document) *conf.Document { return d.WithZoneState("waco", "shut") })
	out, err := run(t, "check", "--json", bad)
	if err == nil {
		t.Fatal("check accepted an invalid document")
	}
	var got struct {
		OK      bool
		Line    int
		Allowed string
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatal(err)
	}
	if got.OK || got.Line == 0 || got.Allowed != "serving, drained" {
		t.Errorf("got %+v", got)
	}
}

func TestDiffShowsLostStages(t *testing.T) {
	list := filepath.Join(t.TempDir(), "list.json")
	raw := `{"version": 1, "instances": [
		{"id": "a", "zone": "waco", "state": "live", "agent": "127.0.0.1:1", "labels": {"role": "encoder"}},
		{"id": "b", "zone": "austin-a", "state": "live", "agent": "127.0.0.1:2", "labels": {"role": "encoder"}}]}`
	if err := os.WriteFile(list, []byte(raw), 0o644); err != nil {
		t.Fatal(err)
	}
	drained := writeChanged(t, func(d *conf.Document) *conf.Document {
		return d.WithRevision(2).WithZoneState("waco", conf.ZoneDrained)
	})
	out, err := run(t, "diff", example, drained, "--list", list)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"serving to drained", "loses exam_review/encode"} {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
	if strings.Contains(out, "b  ") {
		t.Errorf("output names an endpoint of another zone:\n%s", out)
	}
}

func TestDiffWarnsIfRevisionIsNotAbove(t *testing.T) {
	same := writeChanged(t, func(d *conf.Document) *conf.Document { return d.WithZoneState("waco", conf.ZoneDrained) })
	out, err := run(t, "diff", example, same)
	if err != nil || !strings.Contains(out, "NOT ABOVE") {
		t.Errorf("error %v, want a warning in the output:\n%s", err, out)
	}
}
