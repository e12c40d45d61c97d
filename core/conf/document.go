// Package conf defines the configuration that operators publish, its
// validation, and the rule by which a process accepts a revision. All processes
// use the same code, so all of them accept a document or none does.
package conf

import (
	"slices"
	"time"
)

// ZoneState is the state of an availability zone.
type ZoneState string

// Availability zone states.
const (
	ZoneServing ZoneState = "serving" // accepts new work
	ZoneDrained ZoneState = "drained" // accepts no new work
)

// StageKind specifies the protocol of a stage's endpoints.
type StageKind string

// Stage kinds.
const (
	KindEncoding   StageKind = "encoding"
	KindRetrieval  StageKind = "retrieval"
	KindReranking  StageKind = "reranking"
	KindGeneration StageKind = "generation"
	KindService    StageKind = "service"
)

// Document is one published configuration. It is immutable once parsed; the
// With methods return modified copies.
type Document struct {
	Revision  uint64       `yaml:"revision" validate:"required"` // must be higher than that of any earlier document
	Zones     []Zone       `yaml:"zones" validate:"required,dive"`
	Teams     []Team       `yaml:"teams" validate:"required,dive"`
	Classes   []Class      `yaml:"classes" validate:"required,dive"`
	Pipelines []Pipeline   `yaml:"pipelines" validate:"required,dive"`
	Engines   []EngineRule `yaml:"engines,omitempty" validate:"dive"` // the first matching rule applies
	Placement Placement    `yaml:"placement,omitempty"`
}

// Zone is an availability zone and its state.
type Zone struct {
	Name  string    `yaml:"name" validate:"required"`
	State ZoneState `yaml:"state" validate:"oneof=serving drained"` // a drained zone accepts no new work
}

// Team is a customer of the system.
type Team struct {
	Name   string `yaml:"name" validate:"required"`
	Weight int    `yaml:"weight" validate:"min=1,max=1000"` // share under overload, relative to the other teams
}

// Class is a priority class of requests.
type Class struct {
	Name     string `yaml:"name" validate:"required"`
	Priority int    `yaml:"priority" validate:"min=0,max=9"` // 0 is served first
}

// Pipeline is a sequence of stages under one deadline.
type Pipeline struct {
	Name     string        `yaml:"name" validate:"required"`
	Deadline time.Duration `yaml:"deadline" validate:"gt=0"` // maximum duration of a request
	Teams    []string      `yaml:"teams,omitempty"`          // teams that may call the pipeline; empty: all
	Stages   []Stage       `yaml:"stages" validate:"min=1,max=16,dive"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name       string     `yaml:"name" validate:"required"`
	Kind       StageKind  `yaml:"kind" validate:"oneof=encoding retrieval reranking generation service"`
	Idempotent bool       `yaml:"idempotent"`                                       // false: runs at most once for each ticket
	Selectors  []Selector `yaml:"selectors" validate:"min=1,max=16,dive"`           // an endpoint needs to match one of them
	Model      *Model     `yaml:"model,omitempty"`                                  // only for kind generation, which needs it
	Path       string     `yaml:"path,omitempty"`                                   // URL path of the call; only for kind service, which needs it
	MaxTokens  int        `yaml:"max_tokens,omitempty" validate:"min=0,max=100000"` // limit of generated tokens in each call; used only by kind generation
}

// Selector matches endpoints by the labels of their instance.
type Selector struct {
	Match map[string]string `yaml:"match" validate:"min=1"` // labels that the instance must have, with these values
	Teams []string          `yaml:"teams,omitempty"`        // teams whose requests may run on the endpoints; empty: all
}

// Model identifies the model that an engine must have loaded to run a stage.
type Model struct {
	Name    string `yaml:"name" validate:"required"`
	Version string `yaml:"version" validate:"required"`
	Adapter string `yaml:"adapter,omitempty"`
	Role    string `yaml:"role,omitempty" validate:"omitempty,oneof=mixed prefill decode"`
}

// EngineRule sets a property of the engines whose instance has the given labels.
type EngineRule struct {
	Match        map[string]string `yaml:"match" validate:"min=1"` // labels that the instance must have, with these values
	ChecksFences bool              `yaml:"checks_fences"`          // the engine refuses orders with an old fencing number
}

// Placement limits how fast endpoints change their models. Endpoints of one
// stage change in groups of max_unavailable, one group each wave_interval.
type Placement struct {
	LoadsPerMinute int           `yaml:"loads_per_minute,omitempty" validate:"min=0"` // weight store's limit for the whole fleet; 0: none
	MaxUnavailable int           `yaml:"max_unavailable,omitempty" validate:"min=0"`  // endpoints of one stage that may change at a time; 0: 1
	WaveInterval   time.Duration `yaml:"wave_interval,omitempty" validate:"min=0"`    // time between groups; 0: 10s
}

// String returns the model's identity in the form that endpoints report:
// NAME@VERSION[+ADAPTER][/ROLE].
func (m Model) String() string {
	s := m.Name + "@" + m.Version
	if m.Adapter != "" {
		s += "+" + m.Adapter
	}
	if m.Role != "" {
		s += "/" + m.Role
	}
	return s
}

// Matches reports whether labels contain every pair of s.Match.
func (s Selector) Matches(labels map[string]string) bool {
	return matchLabels(s.Match, labels)
}

// Admits reports whether the selector allows requests of team.
func (s Selector) Admits(team string) bool {
	return len(s.Teams) == 0 || slices.Contains(s.Teams, team)
}

// SelectsFor reports whether an endpoint with these labels may run the stage for
// team.
func (s *Stage) SelectsFor(labels map[string]string, team string) bool {
	for _, sel := range s.Selectors {
		if sel.Matches(labels) && sel.Admits(team) {
			return true
		}
	}
	return false
}

// Selects reports whether an endpoint with these labels may run the stage for
// any team.
func (s *Stage) Selects(labels map[string]string) bool {
	for _, sel := range s.Selectors {
		if sel.Matches(labels) {
			return true
		}
	}
	return false
}

// matchLabels reports whether labels contain every pair of want.
func matchLabels(want, labels map[string]string) bool {
	for k, v := range want {
		if labels[k] != v {
			return false
		}
	}
	return true
}

// ChecksFences reports whether the engine on an instance with these labels
// refuses orders with an old fencing number. The first matching rule applies.
func (d *Document) ChecksFences(labels map[string]string) bool {
	for _, r := range d.Engines {
		if matchLabels(r.Match, labels) {
			return r.ChecksFences
		}
	}
	return false
}

// Pipeline returns the pipeline with the given name, or nil.
func (d *Document) Pipeline(name string) *Pipeline {
	for i := range d.Pipelines {
		if d.Pipelines[i].Name == name {
			return &d.Pipelines[i]
		}
	}
	return nil
}

// ZoneState returns the state of a zone. A zone that the document doesn't list
// counts as drained, so that work is sent only to zones declared by operators.
func (d *Document) ZoneState(name string) ZoneState {
	for _, z := range d.Zones {
		if z.Name == name {
			return z.State
		}
	}
	return ZoneDrained
}

// Admits reports whether team may call the pipeline.
func (p *Pipeline) Admits(team string) bool {
	return len(p.Teams) == 0 || slices.Contains(p.Teams, team)
}

// Idempotent reports whether all stages of the pipeline are idempotent.
func (p *Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// WithRevision returns a copy with revision n.
func (d *Document) WithRevision(n uint64) *Document {
	c := *d
	c.Revision = n
	return &c
}

// WithZoneState returns a copy in which the named zone has state s.
func (d *Document) WithZoneState(name string, s ZoneState) *Document {
	c := *d
	c.Zones = slices.Clone(d.Zones)
	for i := range c.Zones {
		if c.Zones[i].Name == name {
			c.Zones[i].State = s
		}
	}
	return &c
}
