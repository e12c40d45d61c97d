// Package sets defines the relay's settings file.
package sets

import (
	"time"

	"wigeonplank.example/base/sets"
)

// Settings is what a relay reads at its start and whenever they change.
type Settings struct {
	Instance    string       `yaml:"instance" validate:"required"` // ID of the instance
	Zone        string       `yaml:"zone" validate:"required"`     // availability zone of the instance
	HTTP        sets.Listen  `yaml:"http"`                         // callers
	Admin       sets.Listen  `yaml:"admin"`                        // readiness, metrics and status
	Metrics     *sets.Listen `yaml:"metrics,omitempty"`            // metrics alone, for scrapers; none: only on the port of admin
	Peers       Peers        `yaml:"peers"`
	Store       string       `yaml:"store" validate:"required,ip_port"` // the platform's store, IP:port
	MemoryBytes int64        `yaml:"memory_bytes,omitempty" validate:"min=0"`
	Stop        Stop         `yaml:"stop,omitempty"`
	Retry       Retry        `yaml:"retry,omitempty"`
	Cold        Cold         `yaml:"cold,omitempty"`
	Policy      Policy       `yaml:"policy,omitempty"`
}

// Peers says how the relays of a deployment find each other.
type Peers struct {
	Listen string        `yaml:"listen" validate:"required,ip_port"`          // IP:port
	Seeds  []string      `yaml:"seeds,omitempty" validate:"dive,ip_port"`     // some relays, IP:port; they may be gone
	Beat   time.Duration `yaml:"beat,omitempty" validate:"min=0"`             // 0: 250ms
	Expect int           `yaml:"expect,omitempty" validate:"min=0,max=10000"` // relays to reckon with until they are known; 0: 8
}

// Stop sets the pace of a graceful shutdown.
type Stop struct {
	Longest time.Duration `yaml:"longest,omitempty" validate:"min=0"` // from the signal to the end; 0: 8s
}

// Retry bounds what all relays together send more than once.
type Retry struct {
	Ratio  float64       `yaml:"ratio,omitempty" validate:"min=0"`  // of the requests in a window; 0: 0.2
	Slack  float64       `yaml:"slack,omitempty" validate:"min=0"`  // on top, for each service and window
	Window time.Duration `yaml:"window,omitempty" validate:"min=0"` // 0: 10s
}

// Cold bounds what all relays together send to an endpoint in cold start.
type Cold struct {
	Overshoot float64 `yaml:"overshoot,omitempty" validate:"min=0"` // times the rate that it bears; 0: 1
	Slack     float64 `yaml:"slack,omitempty" validate:"min=0"`     // on top, requests a second
}

// Policy selects how work is placed. The defaults are the product; the rest are
// baselines to measure against.
type Policy struct {
	NoAdmission bool `yaml:"no_admission,omitempty"` // requests that can't be in time are begun all the same
	NoAffinity  bool `yaml:"no_affinity,omitempty"`  // engines are chosen by load alone
	BatchAlone  bool `yaml:"batch_alone,omitempty"`  // each relay fills calls from its own requests only
}
