// Package sets defines the relay's settings file.
package sets

import (
	"time"

	"wigeonplank.example/base/sets"
)

// Settings are the settings of a relay, which it reads when it starts and
// whenever their file changes.
type Settings struct {
	Instance    string       `yaml:"instance" validate:"required"` // ID of the instance
	Zone        string       `yaml:"zone" validate:"required"`     // availability zone of the instance
	HTTP        sets.Listen  `yaml:"http"`                         // address for callers
	Admin       sets.Listen  `yaml:"admin"`                        // address for readiness, metrics and status
	Metrics     *sets.Listen `yaml:"metrics,omitempty"`            // additional address for scrapers of metrics; if unset, metrics are served on the admin address only
	Peers       Peers        `yaml:"peers"`
	Keepers     Keepers      `yaml:"keepers,omitempty"`
	Store       string       `yaml:"store" validate:"required,ip_port"` // address of the platform's store, IP:port
	Removal     Removal      `yaml:"removal,omitempty"`
	MemoryBytes int64        `yaml:"memory_bytes,omitempty" validate:"min=0"` // memory of the instance in bytes; the soft memory limit of the process is 70% of it; 0: no limit
	Capacity    Capacity     `yaml:"capacity,omitempty"`
	Stop        Stop         `yaml:"stop,omitempty"`
	Retry       Retry        `yaml:"retry,omitempty"`
	Cold        Cold         `yaml:"cold,omitempty"`
	Policy      Policy       `yaml:"policy,omitempty"`
}

// Peers configures how the relays of a deployment find each other.
type Peers struct {
	Listen            string        `yaml:"listen" validate:"required,ip_port"`          // address for other relays, IP:port
	Seeds             []string      `yaml:"seeds,omitempty" validate:"dive,ip_port"`     // addresses of some relays, IP:port; they need not be reachable
	HeartbeatInterval time.Duration `yaml:"beat,omitempty" validate:"min=0"`             // interval between heartbeats of a link with pending items; three times this without; 0: 500ms
	ExpectedSize      int           `yaml:"expect,omitempty" validate:"min=0,max=10000"` // minimum number of relays to assume while the others are being discovered; 0: 8
}

// Keepers tells where keepers listen, the processes beside endpoints that remember streams.
type Keepers struct {
	Port int `yaml:"port,omitempty" validate:"min=0,max=65535"` // port of the keeper on each instance that runs endpoints; 0: there are no keepers, and no stream goes on after a loss of all relays
}

// Keeper are the settings of a keeper, which it reads when it starts and whenever their file
// changes.
type Keeper struct {
	Instance    string      `yaml:"instance" validate:"required"`            // ID of the instance
	Links       sets.Listen `yaml:"links"`                                   // address for relays
	MemoryBytes int64       `yaml:"memory_bytes,omitempty" validate:"min=0"` // memory of the instance in bytes; the soft memory limit of the process is 70% of it; 0: no limit
}

// Removal bounds how soon the removal of an endpoint from the store takes effect.
type Removal struct {
	DrainMs  float64       `yaml:"drain_ms,omitempty" validate:"min=0"`  // requests may reach an endpoint for this long, in ms, after a stable store has confirmed that it is gone; 0: 2000
	StableMs float64       `yaml:"stable_ms,omitempty" validate:"min=0"` // the store counts as stable this long, in ms, after the end of an outage; 0: 3000
	Return   time.Duration `yaml:"return,omitempty" validate:"min=0"`    // entries of live endpoints that lapsed in an outage are back this long after its end; 0: 2s
}

// Capacity describes the machine of the instance. Relays with more of it own more of
// the work that all relays share.
type Capacity struct {
	Cores    float64 `yaml:"cores,omitempty" validate:"min=0"`     // processor cores; 0: 1
	CPUShare float64 `yaml:"cpu_share,omitempty" validate:"min=0"` // share of the cores that the process may use; 0: 1
	LinkMbps float64 `yaml:"link_mbps,omitempty" validate:"min=0"` // bandwidth of the network link in megabits per second; 0: 1000
}

// Stop configures a graceful shutdown.
type Stop struct {
	Timeout time.Duration `yaml:"longest,omitempty" validate:"min=0"` // maximum time from the signal until the process exits; 0: 8s
}

// Retry limits the retries that all relays send together.
type Retry struct {
	Ratio  float64       `yaml:"ratio,omitempty" validate:"min=0"`  // maximum ratio of retries to requests in a window; 0: 0.2
	Slack  float64       `yaml:"slack,omitempty" validate:"min=0"`  // retries allowed in addition, per service and window
	Window time.Duration `yaml:"window,omitempty" validate:"min=0"` // window that the ratio and the slack refer to; accepted, but not used; 0: 10s
}

// Cold limits the requests that all relays send together to an endpoint in cold
// start.
type Cold struct {
	RateFactor float64 `yaml:"overshoot,omitempty" validate:"min=0"` // allowed multiple of the rate that the endpoint sustains, at least 1; 0: 1
	Slack      float64 `yaml:"slack,omitempty" validate:"min=0"`     // requests per second allowed in addition
}

// Policy selects how requests and stage items are placed. The defaults are meant
// for production; the other policies are baselines for measurements.
type Policy struct {
	NoAdmission    bool `yaml:"no_admission,omitempty"` // start requests even if they can't meet their objective
	NoAffinity     bool `yaml:"no_affinity,omitempty"`  // select engines by load only
	LocalPlacement bool `yaml:"place_alone,omitempty"`  // select engines by what this relay knows of their load
	LocalBatching  bool `yaml:"batch_alone,omitempty"`  // fill the calls of a relay with items of its own requests only

	// Empty: services whose endpoints report their pace, and stage services of which a route
	// has a longer latency objective than a more urgent one with the same stages.
	Schedule Schedule `yaml:"schedule,omitempty" validate:"omitempty,oneof=load time"` // which services are scheduled by expected completion time and shares: none (load), all (time), or those that call for it (empty)
}

// Schedule selects the services that are scheduled by expected completion time.
type Schedule string

// Schedules.
const (
	ScheduleAuto Schedule = ""     // by what endpoints report and by the configuration
	ScheduleLoad Schedule = "load" // none: by load alone
	ScheduleTime Schedule = "time" // all
)
