// Package logs provides a logger for each layer of a program. It writes JSON
// lines. Warnings and errors are always written; info and debug lines only for
// layers that are enabled by name.
package logs

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/phuslu/log"
)

// Layer is a part of a program with its own logger.
type Layer string

// Layers of the programs.
const (
	LayerLink    Layer = "link"    // links between entries and agents
	LayerControl Layer = "control" // configuration, fleet and placement
	LayerRequest Layer = "request" // requests and attempts
	LayerEngine  Layer = "engine"  // calls to the endpoint
	LayerHTTP    Layer = "http"    // HTTP servers for callers and operators
)

// AllLayers is the name that enables every layer.
const AllLayers = "all"

var layers = []Layer{LayerLink, LayerControl, LayerRequest, LayerEngine, LayerHTTP}

// Set holds the loggers of one process. It is immutable and safe for concurrent
// use.
type Set struct {
	loggers map[Layer]*log.Logger
}

// New returns the loggers of a program, which write to w. names is a
// comma-separated list of layers to enable, AllLayers, or empty for none.
func New(w io.Writer, program, names string) (*Set, error) {
	enabled, err := parseLayers(names)
	if err != nil {
		return nil, err
	}
	out := &log.IOWriter{Writer: w}
	s := &Set{loggers: make(map[Layer]*log.Logger, len(layers))}
	for _, l := range layers {
		level := log.WarnLevel
		if slices.Contains(enabled, l) {
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

// Logger returns the logger of a layer.
func (s *Set) Logger(l Layer) *log.Logger { return s.loggers[l] }

func parseLayers(names string) ([]Layer, error) {
	if names == "" {
		return nil, nil
	}
	if names == AllLayers {
		return layers, nil
	}
	var enabled []Layer
	for n := range strings.SplitSeq(names, ",") {
		l := Layer(strings.TrimSpace(n))
		if !slices.Contains(layers, l) {
			return nil, fmt.Errorf("unknown log layer %q (allowed: %s)", l, LayerNames())
		}
		enabled = append(enabled, l)
	}
	return enabled, nil
}

// LayerNames returns the names that New accepts, separated by commas.
func LayerNames() string {
	out := make([]string, 0, len(layers)+1)
	for _, l := range layers {
		out = append(out, string(l))
	}
	return strings.Join(append(out, AllLayers), ", ")
}
