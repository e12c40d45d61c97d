// Package cmds is the command line of the stand-ins: one sub-command for each,
// and one that runs many from a file.
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

const maxBody = 4 << 20

// Parser returns the command line.
func Parser() *flags.Parser {
	p := flags.NewNamedParser("fakes", flags.Default)
	p.LongDescription = "Runs stand-ins for the platform and the back ends, for demos and tests. Faults are switched on by POST /fault."
	commands := []struct {
		name, about string
		cmd         any
	}{
		{"config", "configuration service", &one[config.Options]{make: newConfig}},
		{"list", "list of instances", &one[list.Options]{make: newList}},
		{"weight", "weight store", &one[weight.Options]{make: newWeight}},
		{"engine", "model engine", &one[engine.Options]{make: newEngine}},
		{"pool", "encoder, retriever or reranker", &one[pool.Options]{make: newPool}},
		{"plain", "plain service", &one[plain.Options]{make: newPlain}},
		{"all", "many stand-ins from a file", &all{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.about, c.about, c.cmd); err != nil {
			panic(err) // a wrong tag in this program
		}
	}
	return p
}

// Main runs a stand-in and returns the exit status.
func Main(args []string) int {
	if _, err := Parser().ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 1
	}
	return 0
}

type handler interface {
	Handler() fasthttp.RequestHandler
}

// one is a sub-command for one stand-in with options of type T.
type one[T any] struct {
	Listen  string `long:"listen" required:"yes" value-name:"IP:PORT" description:"where it answers"`
	Options T      `group:"options"`

	make func(T) (handler, error)
}

// Execute runs the stand-in until a signal.
func (o *one[T]) Execute([]string) error {
	h, err := o.make(o.Options)
	if err != nil {
		return err
	}
	return serve([]running{{listen: o.Listen, handler: h}})
}

func newConfig(o config.Options) (handler, error) {
	s := &config.Server{}
	if o.File == "" {
		return s, nil
	}
	raw, err := os.ReadFile(o.File)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
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

// all runs the stand-ins that a file names.
type all struct {
	File string `long:"file" required:"yes" value-name:"FILE" description:"YAML list of stand-ins"`
}

// World is the file of the sub-command all.
type World struct {
	Standins []Standin `yaml:"standins" validate:"required,dive"`
}

// Standin is one entry of a World; the section of its kind is set.
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
		return nil, errors.New("a stand-in without a kind (allowed: config, list, weight, engine, pool, plain)")
	}
}

// Execute runs the stand-ins until a signal.
func (a *all) Execute([]string) error {
	w, err := sets.Load[World](a.File)
	if err != nil {
		return err
	}
	var out []running
	for _, s := range w.Standins {
		h, err := s.handler()
		if err != nil {
			return fmt.Errorf("stand-in at %s: %w", s.Listen, err)
		}
		out = append(out, running{listen: s.Listen, handler: h})
	}
	return serve(out)
}

type running struct {
	listen  string
	handler handler
}

func serve(list []running) error {
	failed := make(chan error, len(list))
	for _, r := range list {
		ln, err := net.Listen("tcp", r.listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		srv := &fasthttp.Server{
			Handler:               r.handler.Handler(),
			MaxRequestBodySize:    maxBody,
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
