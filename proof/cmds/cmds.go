// Package cmds implements the command line of proof: the demo, the failure tests
// and the benchmarks on whole deployments, and the generation of reference pages.
package cmds

import (
	"github.com/jessevdk/go-flags"
)

// Parser returns the command line parser with all commands.
func Parser() *flags.Parser {
	p := flags.NewNamedParser("proof", flags.Default)
	p.LongDescription = "Runs whole deployments on loopback, with stand-ins for engines and services: the demo, the failure tests and the benchmarks."
	commands := []struct {
		name, description string
		cmd               any
	}{
		{"chaos", "run a small fleet under pairs of faults", &Chaos{}},
		{"mutants", "remove each mechanism in a copy of the repository and verify that its test fails", &Mutants{}},
		{"bench", "measure the serving policy under load and faults, compared with baselines", &Bench{}},
		{"regress", "play a fixed set of days with the users' bench and compare them with committed figures", &Regress{}},
		{"latency", "measure the latency that entry and agent add to a call", &Latency{}},
		{"docs", "generate the reference pages", &Docs{}},
		{"platform", "run relays on a stand-in of the platform with planned changes and failures, and verify the replies", &Platform{}},
		{"soak", "run relays under overlapping faults chosen by seed, and verify each run", &Soak{}},
		{"streams", "run as many relays as a large deployment has, take streams up at other relays under faults chosen by seed, and judge each stream", &Streams{}},
		{"drill", "measure how relays take a store that comes back from a copy", &Drill{}},
		{"demo", "run a deployment, drain and restore a zone under load, and verify the results", &Demo{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.description, c.description, c.cmd); err != nil {
			panic(err) // a command has an invalid option tag
		}
	}
	return p
}

// Main runs the command given by args and returns the exit status.
func Main(args []string) int {
	if _, err := Parser().ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 1
	}
	return 0
}
