// Package sets defines the agent's settings file.
package sets

import (
	"time"

	"wigeonplank.example/base/sets"
)

// Settings is what an agent reads at its start.
type Settings struct {
	Instance string      `yaml:"instance" validate:"required"` // ID of the instance, as in the platform's list
	Zone     string      `yaml:"zone" validate:"required"`     // availability zone of the instance
	Link     sets.Listen `yaml:"link"`                         // where entries connect to
	Admin    sets.Listen `yaml:"admin"`                        // operators' pages
	Endpoint Endpoint    `yaml:"endpoint"`
	TLS      *sets.TLS   `yaml:"tls,omitempty"` // mutual TLS with entries; absent: plain TCP
	Stop     Stop        `yaml:"stop,omitempty"`
	Gate     GateMode    `yaml:"gate,omitempty" validate:"omitempty,oneof=ramp open"` // open is a baseline without admission
}

// GateMode names a way to admit work.
type GateMode string

// Ways to admit work.
const (
	GateRamp GateMode = "ramp"
	GateOpen GateMode = "open"
)

// Kind says what stands beside the agent.
type Kind string

// Kinds of endpoint.
const (
	KindEngine  Kind = "engine"  // a model engine that takes orders
	KindPool    Kind = "pool"    // an encoder, retriever or reranker
	KindService Kind = "service" // a plain service
)

// Endpoint is the back end beside the agent.
type Endpoint struct {
	Address   string `yaml:"address" validate:"required,ip_port"` // IP:port
	Kind      Kind   `yaml:"kind" validate:"oneof=engine pool service"`
	Slots     int    `yaml:"slots" validate:"min=1,max=4096"`            // concurrent work it bears when warm
	ColdSlots int    `yaml:"cold_slots" validate:"min=1,ltefield=Slots"` // and when cold
}

// Stop bounds a graceful shutdown.
type Stop struct {
	Longest time.Duration `yaml:"longest,omitempty" validate:"min=0"` // wait for running work; 0: 2m
}
