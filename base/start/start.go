// Package start contains what the main functions of the daemons share: command
// line options, the incarnation of a process, and the handling of signals.
package start

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Options are the command line options of a daemon.
type Options struct {
	Settings string `long:"settings" short:"s" required:"yes" value-name:"FILE" description:"settings file (YAML)"`
	Log      string `long:"log" value-name:"LAYERS" description:"layers whose debug lines are written: link, control, request, engine, http, all"`
}

// Parser returns the command line parser of a daemon. It stores the options in
// opts.
func Parser(name, description string, opts *Options) *flags.Parser {
	p := flags.NewNamedParser(name, flags.Default)
	p.LongDescription = description
	if _, err := p.AddGroup("Options", "", opts); err != nil {
		panic(err) // only for an invalid tag in Options
	}
	return p
}

// Main parses args with p, calls run and returns the exit status: 0 if run
// succeeded or help was requested, 1 if run failed, 2 for an invalid command
// line. It takes signals before anything else, since they may arrive as soon as
// the process runs.
func Main(p *flags.Parser, args []string, run func(*Signals) error) int {
	signals := catchSignals()
	if _, err := p.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 2
	}
	if err := run(signals); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return 1
	}
	return 0
}

// Incarnation identifies one run of a process.
type Incarnation struct {
	ID  uint64 // random
	Key []byte // random secret, known to this process alone and lost when it exits
}

const (
	idBytes  = 8
	keyBytes = 32
)

// NewIncarnation returns an incarnation with a random ID and key.
func NewIncarnation() (Incarnation, error) {
	raw := make([]byte, idBytes+keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return Incarnation{}, fmt.Errorf("generate incarnation: %w", err)
	}
	return Incarnation{ID: binary.BigEndian.Uint64(raw), Key: raw[idBytes:]}, nil
}
