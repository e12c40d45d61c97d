// Package cmds implements the commands of wpctl.
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

	"wigeonplank.example/base/http1"
)

const httpTimeout = 5 * time.Second

// Globals are the options of all commands.
type Globals struct {
	JSON bool `long:"json" description:"write JSON instead of a table"`

	out io.Writer
}

// Parser returns the command line parser of wpctl. Commands write their output to
// out.
func Parser(out io.Writer) *flags.Parser {
	g := &Globals{out: out}
	p := flags.NewNamedParser("wpctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "command line tool for operators of wigeonplank"
	p.LongDescription = "Checks and compares configuration, shows the state of entries and agents, traces requests, and sends load. It changes no configuration."
	if _, err := p.AddGroup("Output", "", g); err != nil {
		panic(err) // only for an invalid tag in this package
	}
	commands := []struct {
		name, summary, description string
		cmd                        any
	}{
		{"check", "validate a file", "Validates a published document or a settings file by the same rules as the processes. The exit status is 1 if the file is invalid.", &checkCmd{Globals: g}},
		{"diff", "show what a new document changes", "Compares two published documents. With --list, also shows which endpoints gain or lose which stages.", &diffCmd{Globals: g}},
		{"status", "show the state of a process", "Shows the status page of an entry or an agent, given its admin address.", &statusCmd{Globals: g}},
		{"explain", "show why endpoints may or may not serve a pipeline", "Shows, for each stage of a pipeline and each endpoint, whether an entry may use the endpoint, given the entry's admin address.", &explainCmd{Globals: g}},
		{"suspects", "show what crashes endpoints", "Shows what requests have in common that ran at endpoints which crashed, the quarantined ones first, as one relay knows it, given its admin address.", &suspectsCmd{Globals: g}},
		{"endpoints", "show how fast endpoints are", "Shows the speed, the pace and the load of endpoints, as one relay estimates them, given its admin address.", &endpointsCmd{Globals: g}},
		{"shares", "show which teams exceed their share of stages", "Shows, for each pool of shared stages, how long items wait and which teams use more than their share, as one relay knows it, given its admin address.", &sharesCmd{Globals: g}},
		{"trace", "show what happened to a request", "Collects the log lines of a request, given the ID of the caller's attempt, from log files of relays or from standard input. Lines marked ~ are about endpoints and processes that the request depended on. The last line states the cause of its outcome.", &traceCmd{Globals: g}},
		{"load", "send requests at a rate", "Sends requests at a given rate, without waiting for earlier ones to end, and measures how they end.", &loadCmd{Globals: g}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.summary, c.description, c.cmd); err != nil {
			panic(err) // only for an invalid tag in this package
		}
	}
	return p
}

// Main runs a command and returns the exit status: 1 if it failed or found a
// problem, 2 for an invalid command line.
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

// print writes v as JSON with --json; otherwise it calls writeTable, which writes
// tab-separated columns.
func (g *Globals) print(v any, writeTable func(w io.Writer)) error {
	if g.JSON {
		raw, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		fmt.Fprintln(g.out, string(raw))
		return nil
	}
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}

// getJSON decodes the JSON that a process serves at path of its admin port.
func getJSON(addr, path string, v any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	client := fasthttp.Client{DialTimeout: http1.Dial}
	if err := client.DoTimeout(req, resp, httpTimeout); err != nil {
		return fmt.Errorf("query %s: %w", addr, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("query %s: status %d: %s", addr, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return fmt.Errorf("decode response of %s: %w", addr, err)
	}
	return nil
}
