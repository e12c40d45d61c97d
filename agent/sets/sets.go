// Package sets defines the settings file of the agent.
package sets

import (
	"time"

	"wigeonplank.example/base/sets"
)

// Settings are the settings of an agent. It reads them once, at its start.
type Settings struct {
	Instance string      `yaml:"instance" validate:"required"`                        // ID of the instance in the platform's instance list
	Zone     string      `yaml:"zone" validate:"required"`                            // availability zone of the instance
	Link     sets.Listen `yaml:"link"`                                                // address that entries connect to
	Admin    sets.Listen `yaml:"admin"`                                               // address of the HTTP server for operators
	Endpoint Endpoint    `yaml:"endpoint"`                                            // endpoint beside the agent
	TLS      *sets.TLS   `yaml:"tls,omitempty"`                                       // mutual TLS with entries; absent: plain TCP
	Stop     Stop        `yaml:"stop,omitempty"`                                      // graceful shutdown
	Gate     GateMode    `yaml:"gate,omitempty" validate:"omitempty,oneof=ramp open"` // admission control; ramp: by measured load and latency; open: none, a baseline for measurements; default: ramp
}

// GateMode selects the admission control.
type GateMode string

// Admission modes.
const (
	GateRamp GateMode = "ramp" // limit concurrent requests by the endpoint's measured load and latency
	GateOpen GateMode = "open" // admit every request; a baseline for comparison
)

// Kind is a kind of endpoint.
type Kind string

// Kinds of endpoint.
const (
	KindEngine  Kind = "engine"  // a model engine that takes placement orders
	KindPool    Kind = "pool"    // an encoder, retriever or reranker
	KindService Kind = "service" // a plain HTTP service
)

// Endpoint describes the endpoint beside the agent.
type Endpoint struct {
	Address   string `yaml:"address" validate:"required,ip_port"`        // IP:port
	Kind      Kind   `yaml:"kind" validate:"oneof=engine pool service"`  // kind of the endpoint; pool: an encoder, retriever or reranker
	Slots     int    `yaml:"slots" validate:"min=1,max=4096"`            // maximum concurrent requests when warm
	ColdSlots int    `yaml:"cold_slots" validate:"min=1,ltefield=Slots"` // maximum concurrent requests when cold
}

// Stop limits a graceful shutdown.
type Stop struct {
	Timeout time.Duration `yaml:"longest,omitempty" validate:"min=0"` // maximum wait for running requests and unacknowledged results; 0: 2m
}
