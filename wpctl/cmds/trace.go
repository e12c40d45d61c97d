package cmds

import (
	"fmt"
	"io"
	"os"

	"wigeonplank.example/wpctl/trace"
)

// traceCmd is the command trace.
type traceCmd struct {
	*Globals `no-flag:"yes"`

	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute prints the trace of a request.
func (c *traceCmd) Execute([]string) error {
	t, err := c.gather()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(t, nil)
	}
	return t.Write(c.out)
}

// gather reads the log files, or standard input if there are none.
func (c *traceCmd) gather() (*trace.Trace, error) {
	if len(c.Args.Files) == 0 {
		return trace.Gather(c.Args.ID, os.Stdin)
	}
	logs := make([]io.Reader, 0, len(c.Args.Files))
	var files []io.Closer
	defer func() {
		for _, f := range files {
			_ = f.Close() // opened for reading only
		}
	}()
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		files, logs = append(files, f), append(logs, f)
	}
	return trace.Gather(c.Args.ID, logs...)
}
