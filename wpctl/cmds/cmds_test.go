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

// run runs a command line and returns what it wrote.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	_, err := cmds.Parser(&out).ParseArgs(args)
	return out.String(), err
}

// changed writes the example with a change and returns the file's name.
func changed(t *testing.T, change func(*conf.Document) *conf.Document) string {
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

func TestCheckTellsLineAndMendToScripts(t *testing.T) {
	bad := changed(t, func(d *conf.Document) *conf.Document { return d.WithZoneState("waco", "shut") })
	out, err := run(t, "check", "--json", bad)
	if err == nil {
		t.Fatal("a bad document was found right")
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

func TestDiffSaysWhatEndpointsLose(t *testing.T) {
	list := filepath.Join(t.TempDir(), "list.json")
	raw := `{"version": 1, "instances": [
		{"id": "a", "zone": "waco", "state": "live", "agent": "127.0.0.1:1", "labels": {"role": "encoder"}},
		{"id": "b", "zone": "austin-a", "state": "live", "agent": "127.0.0.1:2", "labels": {"role": "encoder"}}]}`
	if err := os.WriteFile(list, []byte(raw), 0o644); err != nil {
		t.Fatal(err)
	}
	drained := changed(t, func(d *conf.Document) *conf.Document {
		return d.WithRevision(2).WithZoneState("waco", conf.ZoneDrained)
	})
	out, err := run(t, "diff", example, drained, "--list", list)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"serving to drained", "loses exam_review/encode"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	if strings.Contains(out, "b  ") {
		t.Errorf("an endpoint of another zone is named:\n%s", out)
	}
}

func TestDiffWarnsOfARevisionThatIsNotHigher(t *testing.T) {
	same := changed(t, func(d *conf.Document) *conf.Document { return d.WithZoneState("waco", conf.ZoneDrained) })
	out, err := run(t, "diff", example, same)
	if err != nil || !strings.Contains(out, "NOT ABOVE") {
		t.Errorf("%v, no warning in\n%s", err, out)
	}
}
