// Package fleet starts whole deployments as separate processes on loopback, for
// the demo, the benchmarks and the failure tests. Starting processes is the
// harness's business; no process of the system does it.
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
	Config  string   `yaml:"config" validate:"required"` // published document, beside the plan's file
	Entries []string `yaml:"entries" validate:"min=1"`   // zone of each entry
	Zones   []string `yaml:"zones" validate:"min=1"`     // endpoints are spread over them in turn
	Groups  []Group  `yaml:"groups" validate:"min=1,dive"`
	Mix     []Share  `yaml:"mix,omitempty" validate:"dive"`

	// What tests add to a deployment.
	Relays   bool   `yaml:"relays,omitempty"` // a relay on each link, for faults of the network
	TLS      bool   `yaml:"tls,omitempty"`    // mutual TLS on links
	Route    string `yaml:"route,omitempty"`  // the entries' routing policy
	Admit    bool   `yaml:"no_admission,omitempty"`
	Retries  int    `yaml:"fixed_retries,omitempty"`
	Gate     string `yaml:"gate,omitempty"` // the agents' way to admit
	Document []byte `yaml:"-"`
}

// Group is a number of like endpoints.
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
	Zone      string            `yaml:"zone,omitempty"` // all in one zone
}

// Share is one line of the mix that is sent.
type Share struct {
	Pipeline string `yaml:"pipeline" validate:"required"`
	Team     string `yaml:"team" validate:"required"`
	Class    string `yaml:"class,omitempty"`
	Weight   int    `yaml:"weight" validate:"min=1"`
	Stream   bool   `yaml:"stream,omitempty"`
}

// Load reads a plan and its document.
func Load(file string) (Plan, error) {
	p, err := sets.Load[Plan](file)
	if err != nil {
		return p, fmt.Errorf("load fleet: %w", err)
	}
	p.Document, err = os.ReadFile(filepath.Join(filepath.Dir(file), p.Config))
	if err != nil {
		return p, fmt.Errorf("load fleet: %w", err)
	}
	return p, nil
}

// LoadMix returns the plan's mix with the deadlines of its document.
func (p *Plan) LoadMix(d *conf.Document) []load.Share {
	out := make([]load.Share, 0, len(p.Mix))
	for _, s := range p.Mix {
		deadline := time.Duration(0)
		if pl := d.Pipeline(s.Pipeline); pl != nil {
			deadline = pl.Deadline
		}
		out = append(out, load.Share{
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
