// Package cmds is the operators' command line.
package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"
)

const httpTimeout = 5 * time.Second

// Globals are the options of every command.
type Globals struct {
	JSON bool `long:"json" description:"write JSON for scripts in place of a table"`

	out io.Writer
}

// Parser returns the command line. Output goes to out.
func Parser(out io.Writer) *flags.Parser {
	g := &Globals{out: out}
	p := flags.NewNamedParser("wpctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operators' tool of wigeonplank"
	p.LongDescription = "Checks and compares configuration, shows what entries and agents see, and sends load. It changes nothing."
	if _, err := p.AddGroup("Output", "", g); err != nil {
		panic(err) // a wrong tag in this package
	}
	commands := []struct {
		name, about, more string
		cmd               any
	}{
		{"check", "validate a file", "Validates a published document or a settings file, as the processes do. The exit status is 1 if it is refused.", &check{Globals: g}},
		{"diff", "what a new document changes", "Compares two published documents. With --list it says which endpoints gain or lose which stages.", &diff{Globals: g}},
		{"status", "what a process sees", "Reads the status page of an entry or an agent, given its operators' address.", &status{Globals: g}},
		{"explain", "why endpoints may or may not carry a pipeline", "Asks an entry, given its operators' address, about each endpoint and each stage of a pipeline.", &explain{Globals: g}},
		{"trace", "what became of a request", "Gathers the lines of a request, by the ID of the caller's attempt, from log files of relays or from standard input. Lines marked ~ are of endpoints and processes that it depended on. The last line names the cause.", &traceCmd{Globals: g}},
		{"load", "send requests at a rate", "Sends requests at a given rate, whatever becomes of those before, and measures how they end.", &loadCmd{Globals: g}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.about, c.more, c.cmd); err != nil {
			panic(err) // a wrong tag in this package
		}
	}
	return p
}

// Main runs a command and returns the exit status: 1 if it failed or found
// something wrong, 2 for a wrong command line.
func Main(args []string) int {
	_, err := Parser(os.Stdout).ParseArgs(args)
	if err == nil {
		return 0
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, "wpctl:", err)
	if _, ok := err.(*flags.Error); ok { //nolint:errorlint // go-flags returns its own errors unwrapped
		return 2
	}
	return 1
}

// show writes v as JSON, or calls table.
func (g *Globals) show(v any, table func(w io.Writer)) error {
	if g.JSON {
		raw, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		fmt.Fprintln(g.out, string(raw))
		return nil
	}
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// fetch reads JSON from a process's operators' port.
func fetch(addr, path string, v any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if err := fasthttp.DoTimeout(req, resp, httpTimeout); err != nil {
		return fmt.Errorf("ask %s: %w", addr, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("ask %s: status %d: %s", addr, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return fmt.Errorf("decode answer of %s: %w", addr, err)
	}
	return nil
}
