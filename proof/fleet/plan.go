// Package fleet runs deployments of entries and agents as separate processes on
// the loopback address, for the demo, the benchmarks and the failure tests. Only
// test harnesses start processes; no process of the system starts another.
package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wigeonplank.example/base/sets"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/wpctl/load"
)

// Plan describes a deployment.
type Plan struct {
	Config  string     `yaml:"config" validate:"required"` // file of the first published document, in the directory of the plan
	Entries []string   `yaml:"entries" validate:"min=1"`   // zone of each entry
	Zones   []string   `yaml:"zones" validate:"min=1"`     // assigned to endpoints in turn
	Groups  []Group    `yaml:"groups" validate:"min=1,dive"`
	Mix     []MixEntry `yaml:"mix,omitempty" validate:"dive"`

	// Options for tests.
	LinkProxies   bool   `yaml:"relays,omitempty"` // a fault-injecting proxy on each link
	TLS           bool   `yaml:"tls,omitempty"`    // mutual TLS on links
	RoutingPolicy string `yaml:"route,omitempty"`  // routing policy of the entries
	NoAdmission   bool   `yaml:"no_admission,omitempty"`
	FixedRetries  int    `yaml:"fixed_retries,omitempty"`
	EntryStopMS   int    `yaml:"entry_stop_ms,omitempty"` // entries' maximum wait for requests in flight at a stop; 0: the entry's default
	GateMode      string `yaml:"gate,omitempty"`          // gate mode of the agents
	Document      []byte `yaml:"-"`                       // first published document, which LoadPlan reads from Config
}

// Group is a number of endpoints with the same settings.
type Group struct {
	Name      string            `yaml:"name" validate:"required"`
	Service   string            `yaml:"service" validate:"required"`
	Kind      string            `yaml:"kind" validate:"oneof=engine pool service"`
	Count     int               `yaml:"count" validate:"min=1"`
	Slots     int               `yaml:"slots" validate:"min=1"`
	Labels    map[string]string `yaml:"labels,omitempty"`
	ColdMS    int               `yaml:"cold_ms,omitempty"`
	ServiceUS int               `yaml:"service_us,omitempty"`
	TokenUS   int               `yaml:"token_us,omitempty"`
	Zone      string            `yaml:"zone,omitempty"` // zone of all endpoints; empty: the zones of the plan in turn
}

// MixEntry is a kind of request and its weight in the generated load.
type MixEntry struct {
	Pipeline string `yaml:"pipeline" validate:"required"`
	Team     string `yaml:"team" validate:"required"`
	Class    string `yaml:"class,omitempty"`
	Weight   int    `yaml:"weight" validate:"min=1"`
	Stream   bool   `yaml:"stream,omitempty"`
}

// LoadPlan reads a plan and its document from files.
func LoadPlan(file string) (Plan, error) {
	p, err := sets.Load[Plan](file)
	if err != nil {
		return p, fmt.Errorf("load plan: %w", err)
	}
	p.Document, err = os.ReadFile(filepath.Join(filepath.Dir(file), p.Config))
	if err != nil {
		return p, fmt.Errorf("load document of plan: %w", err)
	}
	return p, nil
}

// LoadMix returns the mix of the plan with the deadlines of the pipelines in d.
func (p *Plan) LoadMix(d *conf.Document) []load.Kind {
	out := make([]load.Kind, 0, len(p.Mix))
	for _, s := range p.Mix {
		deadline := time.Duration(0)
		if pl := d.Pipeline(s.Pipeline); pl != nil {
			deadline = pl.Deadline
		}
		out = append(out, load.Kind{
			Pipeline: s.Pipeline,
			Team:     s.Team,
			Class:    s.Class,
			Weight:   s.Weight,
			Stream:   s.Stream,
			Deadline: deadline,
		})
	}
	return out
}
