// Package start is what the command lines of the daemons share.
package start

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Options is the command line of a daemon.
type Options struct {
	Settings string `long:"settings" short:"s" required:"yes" value-name:"FILE" description:"settings file (YAML)"`
	Log      string `long:"log" value-name:"LAYERS" description:"layers whose debug lines are written: link, control, request, engine, http, all"`
}

// Parser returns the command line of a daemon, which fills opts.
func Parser(name, about string, opts *Options) *flags.Parser {
	p := flags.NewNamedParser(name, flags.Default)
	p.LongDescription = about
	if _, err := p.AddGroup("Options", "", opts); err != nil {
		panic(err) // a wrong tag in Options
	}
	return p
}

// Main parses args with p, calls run, and returns the exit status: 1 if run
// failed, 2 for a wrong command line.
func Main(p *flags.Parser, args []string, run func() error) int {
	if _, err := p.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 2
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return 1
	}
	return 0
}

// Incarnation is one life of a process. Key is a secret that nobody else knows
// and that ends with it.
type Incarnation struct {
	ID  uint64
	Key []byte
}

const (
	idBytes  = 8
	keyBytes = 32
)

// NewIncarnation draws an incarnation.
func NewIncarnation() (Incarnation, error) {
	raw := make([]byte, idBytes+keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return Incarnation{}, fmt.Errorf("draw incarnation: %w", err)
	}
	return Incarnation{ID: binary.BigEndian.Uint64(raw), Key: raw[idBytes:]}, nil
}

// AwaitStop blocks until a signal asks the process to stop, or until something
// failed. Further signals change nothing: what runs is still brought to its end.
func AwaitStop(failed <-chan error) error {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return errors.Join(errors.New("a listener ended"), err)
	case <-term:
		return nil
	}
}
