// Package cmds is the command line of the proofs: the demo and the benchmarks
// on whole deployments.
package cmds

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Main runs a command and returns the exit status.
func Main(args []string) int {
	p := flags.NewParser(nil, flags.Default)
	commands := []struct {
		name, about string
		cmd         any
	}{
		{"mutants", "remove each mechanism and see its check fail", &Mutants{}},
		{"demo", "run a deployment, take a zone out and back under load, and judge it", &Demo{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.about, c.about, c.cmd); err != nil {
			fmt.Fprintln(os.Stderr, "proof:", err)
			return 2
		}
	}
	if _, err := p.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 1
	}
	return 0
}
