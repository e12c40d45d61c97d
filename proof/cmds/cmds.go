// Package cmds is the command line of the proofs: the demo and the benchmarks
// on whole deployments.
package cmds

import (
	"github.com/jessevdk/go-flags"
)

// Parser returns the command line.
func Parser() *flags.Parser {
	p := flags.NewNamedParser("proof", flags.Default)
	p.LongDescription = "Runs whole deployments of stand-ins on loopback, for the demo, the proofs and the measurements."
	commands := []struct {
		name, about string
		cmd         any
	}{
		{"chaos", "strike a small fleet with pairs of failures", &Chaos{}},
		{"mutants", "remove each mechanism and see its check fail", &Mutants{}},
		{"bench", "measure the policy under load and faults against baselines", &Bench{}},
		{"slopes", "measure what a process costs as its surroundings grow", &Slopes{}},
		{"latency", "measure what entry and agent add to a call", &Latency{}},
		{"docs", "write the generated reference pages", &Docs{}},
		{"platform", "run relays over a stand-in of the users' platform, with operators and accidents, and judge it", &Platform{}},
		{"soak", "run relays under overlapping faults that seeds decide, and judge each run", &Soak{}},
		{"demo", "run a deployment, take a zone out and back under load, and judge it", &Demo{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.about, c.about, c.cmd); err != nil {
			panic(err) // a wrong tag in this program
		}
	}
	return p
}

// Main runs a command and returns the exit status.
func Main(args []string) int {
	if _, err := Parser().ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 1
	}
	return 0
}
