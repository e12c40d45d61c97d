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

// checkCmd is the command check.
type checkCmd struct {
	*Globals `no-flag:"yes"`

	Kind string `long:"kind" default:"document" choice:"document" choice:"entry" choice:"agent" description:"kind of the file"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// checkResult is the result with --json.
type checkResult struct {
	File    string `json:"file"`
	OK      bool   `json:"ok"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Summary string `json:"summary,omitempty"`
}

// Execute validates the file.
func (c *checkCmd) Execute([]string) error {
	summary, err := c.validate()
	out := checkResult{File: c.Args.File, OK: err == nil, Summary: summary}
	var invalid *conf.InvalidError
	if errors.As(err, &invalid) {
		out.Line, out.Key, out.Problem, out.Allowed = invalid.Line, invalid.Key, invalid.Problem, invalid.Allowed
	} else if err != nil {
		out.Problem = err.Error()
	}
	if err != nil && !c.JSON {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	printErr := c.print(out, func(w io.Writer) { fmt.Fprintf(w, "%s: ok, %s\n", out.File, out.Summary) })
	return errors.Join(printErr, err)
}

// validate returns a summary of the file's contents, or what is wrong with them.
func (c *checkCmd) validate() (string, error) {
	switch c.Kind {
	case "entry":
		s, err := base.Load[entrysets.Settings](c.Args.File)
		return fmt.Sprintf("entry %s in %s", s.Instance, s.Zone), trimFileName(err)
	case "agent":
		s, err := base.Load[agentsets.Settings](c.Args.File)
		return fmt.Sprintf("agent of %s in %s", s.Instance, s.Zone), trimFileName(err)
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

// trimFileName returns the cause of a *sets.FileError, whose message includes the
// file name, since Execute adds the name to every error. It returns other errors
// unchanged.
func trimFileName(err error) error {
	var fileErr *base.FileError
	if errors.As(err, &fileErr) {
		return fileErr.Err
	}
	return err
}
