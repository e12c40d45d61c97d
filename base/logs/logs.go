// Package logs gives each layer of a program a logger that writes JSON lines.
// Warnings and errors are always written; the rest only for layers that are
// switched on by name.
package logs

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/phuslu/log"
)

// Layer names a part of a program.
type Layer string

// Layers that have a logger.
const (
	LayerLink    Layer = "link"    // links between entries and agents
	LayerControl Layer = "control" // configuration, fleet, placement
	LayerRequest Layer = "request" // requests and attempts
	LayerEngine  Layer = "engine"  // calls to the endpoint
	LayerHTTP    Layer = "http"    // callers and operators
)

// All is the name that switches every layer on.
const All = "all"

var layers = []Layer{LayerLink, LayerControl, LayerRequest, LayerEngine, LayerHTTP}

// Set holds the loggers of one process. It is immutable and safe for concurrent
// use.
type Set struct {
	loggers map[Layer]*log.Logger
}

// New returns the loggers of a program that write to w. names is a list of
// layers divided by commas, All, or empty.
func New(w io.Writer, program, names string) (*Set, error) {
	on, err := parse(names)
	if err != nil {
		return nil, err
	}
	out := &log.IOWriter{Writer: w}
	s := &Set{loggers: make(map[Layer]*log.Logger, len(layers))}
	for _, l := range layers {
		level := log.WarnLevel
		if slices.Contains(on, l) {
			level = log.DebugLevel
		}
		s.loggers[l] = &log.Logger{
			Level:   level,
			Writer:  out,
			Context: log.NewContext(nil).Str("program", program).Str("layer", string(l)).Value(),
		}
	}
	return s, nil
}

// Of returns the logger of a layer.
func (s *Set) Of(l Layer) *log.Logger { return s.loggers[l] }

func parse(names string) ([]Layer, error) {
	if names == "" {
		return nil, nil
	}
	if names == All {
		return layers, nil
	}
	var on []Layer
	for n := range strings.SplitSeq(names, ",") {
		l := Layer(strings.TrimSpace(n))
		if !slices.Contains(layers, l) {
			return nil, fmt.Errorf("log layer %q is unknown (allowed: %s)", l, Names())
		}
		on = append(on, l)
	}
	return on, nil
}

// Names returns the names that New accepts, for a help text.
func Names() string {
	out := make([]string, 0, len(layers)+1)
	for _, l := range layers {
		out = append(out, string(l))
	}
	return strings.Join(append(out, All), ", ")
}
