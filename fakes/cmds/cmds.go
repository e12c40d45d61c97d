// Package cmds is the command line of fakes: one subcommand for each stand-in, and
// one that runs several stand-ins from a file.
package cmds

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/sets"
	"wigeonplank.example/fakes/config"
	"wigeonplank.example/fakes/engine"
	"wigeonplank.example/fakes/list"
	"wigeonplank.example/fakes/plain"
	"wigeonplank.example/fakes/pool"
	"wigeonplank.example/fakes/weight"
)

const maxBodyBytes = 4 << 20

// Parser returns the command line.
func Parser() *flags.Parser {
	p := flags.NewNamedParser("fakes", flags.Default)
	p.LongDescription = "Runs stand-ins for the platform and the back ends, for demos and tests. POST /fault to a stand-in injects faults into it."
	commands := []struct {
		name, description string
		cmd               any
	}{
		{"config", "configuration service", &standinCommand[config.Options]{newHandler: newConfig}},
		{"list", "instance list", &standinCommand[list.Options]{newHandler: newList}},
		{"weight", "weight store", &standinCommand[weight.Options]{newHandler: newWeight}},
		{"engine", "model engine", &standinCommand[engine.Options]{newHandler: newEngine}},
		{"pool", "encoder, retriever or reranker", &standinCommand[pool.Options]{newHandler: newPool}},
		{"plain", "plain service", &standinCommand[plain.Options]{newHandler: newPlain}},
		{"all", "several stand-ins from a file", &allCommand{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.description, c.description, c.cmd); err != nil {
			panic(err) // a struct tag in this program is invalid
		}
	}
	return p
}

// Main executes the command line and returns the exit status.
func Main(args []string) int {
	if _, err := Parser().ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 1
	}
	return 0
}

// handler is a stand-in.
type handler interface {
	Handler() fasthttp.RequestHandler
}

// standinCommand is the subcommand of a stand-in whose options are of type T.
type standinCommand[T any] struct {
	Listen  string `long:"listen" required:"yes" value-name:"IP:PORT" description:"address to listen on"`
	Options T      `group:"options"`

	newHandler func(T) (handler, error)
}

// Execute runs the stand-in until SIGTERM or SIGINT.
func (c *standinCommand[T]) Execute([]string) error {
	h, err := c.newHandler(c.Options)
	if err != nil {
		return err
	}
	return serve([]listener{{addr: c.Listen, handler: h}})
}

func newConfig(o config.Options) (handler, error) {
	s := &config.Server{}
	if o.File == "" {
		return s, nil
	}
	raw, err := os.ReadFile(o.File)
	if err != nil {
		return nil, fmt.Errorf("read configuration document: %w", err)
	}
	s.Publish(raw)
	return s, nil
}

func newList(o list.Options) (handler, error) {
	s := &list.Server{}
	if o.File == "" {
		return s, nil
	}
	return s, s.Load(o.File)
}

func newWeight(o weight.Options) (handler, error) { return weight.New(o), nil }

func newEngine(o engine.Options) (handler, error) { return engine.New(o), nil }

func newPool(o pool.Options) (handler, error) { return pool.New(o), nil }

func newPlain(o plain.Options) (handler, error) { return plain.New(o), nil }

// allCommand is the subcommand that runs all stand-ins of a file.
type allCommand struct {
	File string `long:"file" required:"yes" value-name:"FILE" description:"YAML list of stand-ins"`
}

// Manifest is the content of the file that the subcommand all reads.
type Manifest struct {
	Standins []Standin `yaml:"standins" validate:"required,dive"`
}

// Standin describes one stand-in of a Manifest. One of its sections is set, which
// says its kind.
type Standin struct {
	Listen string          `yaml:"listen" validate:"required,ip_port"`
	Config *config.Options `yaml:"config,omitempty"`
	List   *list.Options   `yaml:"list,omitempty"`
	Weight *weight.Options `yaml:"weight,omitempty"`
	Engine *engine.Options `yaml:"engine,omitempty"`
	Pool   *pool.Options   `yaml:"pool,omitempty"`
	Plain  *plain.Options  `yaml:"plain,omitempty"`
}

func (s Standin) handler() (handler, error) {
	switch {
	case s.Config != nil:
		return newConfig(*s.Config)
	case s.List != nil:
		return newList(*s.List)
	case s.Weight != nil:
		return newWeight(*s.Weight)
	case s.Engine != nil:
		return newEngine(*s.Engine)
	case s.Pool != nil:
		return newPool(*s.Pool)
	case s.Plain != nil:
		return newPlain(*s.Plain)
	default:
		return nil, errors.New("kind is missing (allowed: config, list, weight, engine, pool, plain)")
	}
}

// Execute runs the stand-ins until SIGTERM or SIGINT.
func (c *allCommand) Execute([]string) error {
	manifest, err := sets.Load[Manifest](c.File)
	if err != nil {
		return err
	}
	var listeners []listener
	for _, s := range manifest.Standins {
		h, err := s.handler()
		if err != nil {
			return fmt.Errorf("stand-in at %s: %w", s.Listen, err)
		}
		listeners = append(listeners, listener{addr: s.Listen, handler: h})
	}
	return serve(listeners)
}

// listener is a stand-in with the address that it listens on.
type listener struct {
	addr    string
	handler handler
}

// serve runs the stand-ins until SIGTERM or SIGINT, or until one of them fails.
func serve(listeners []listener) error {
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		srv := &fasthttp.Server{
			Handler:               l.handler.Handler(),
			MaxRequestBodySize:    maxBodyBytes,
			NoDefaultServerHeader: true,
			IdleTimeout:           time.Minute,
		}
		go func() { failed <- srv.Serve(ln) }()
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-term:
		return nil
	}
}
