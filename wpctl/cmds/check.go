package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	agentsets "wigeonplank.example/agent/sets"
	base "wigeonplank.example/base/sets"
	"wigeonplank.example/core/conf"
	entrysets "wigeonplank.example/entry/sets"
)

type check struct {
	*Globals `no-flag:"yes"`

	Kind string `long:"kind" default:"document" choice:"document" choice:"entry" choice:"agent" description:"what the file is"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// checked is the result for scripts.
type checked struct {
	File    string `json:"file"`
	OK      bool   `json:"ok"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Summary string `json:"summary,omitempty"`
}

// Execute validates the file.
func (c *check) Execute([]string) error {
	summary, err := c.validate()
	out := checked{File: c.Args.File, OK: err == nil, Summary: summary}
	var inv *conf.InvalidError
	if errors.As(err, &inv) {
		out.Line, out.Key, out.Problem, out.Allowed = inv.Line, inv.Key, inv.Problem, inv.Allowed
	} else if err != nil {
		out.Problem = err.Error()
	}
	if err != nil && !c.JSON {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	shown := c.show(out, func(w io.Writer) { fmt.Fprintf(w, "%s: ok, %s\n", out.File, out.Summary) })
	return errors.Join(shown, err)
}

func (c *check) validate() (string, error) {
	switch c.Kind {
	case "entry":
		s, err := base.Load[entrysets.Settings](c.Args.File)
		return fmt.Sprintf("entry %s in %s", s.Instance, s.Zone), cause(err)
	case "agent":
		s, err := base.Load[agentsets.Settings](c.Args.File)
		return fmt.Sprintf("agent of %s in %s", s.Instance, s.Zone), cause(err)
	}
	raw, err := os.ReadFile(c.Args.File)
	if err != nil {
		return "", err
	}
	d, err := conf.Parse(raw)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d, %d pipelines, %d zones, %d teams", d.Revision, len(d.Pipelines), len(d.Zones), len(d.Teams)), nil
}

// cause takes the file's name off an error, as Execute puts it there.
func cause(err error) error {
	var f *base.FileError
	if errors.As(err, &f) {
		return f.Err
	}
	return err
}
