// Package sets defines the entry's settings file.
package sets

import (
	"time"

	"wigeonplank.example/base/sets"
	"wigeonplank.example/core/route"
)

// Settings is the settings file of an entry. It is read once, at startup.
type Settings struct {
	Instance   string      `yaml:"instance" validate:"required"`                 // ID of the instance
	Zone       string      `yaml:"zone" validate:"required"`                     // availability zone of the instance
	HTTP       HTTP        `yaml:"http"`                                         // HTTP server for callers
	Admin      sets.Listen `yaml:"admin"`                                        // HTTP server for operators
	Platform   Platform    `yaml:"platform"`                                     // addresses of the platform's services
	Neighbours []string    `yaml:"neighbours,omitempty" validate:"dive,ip_port"` // agents, IP:port, asked for the configuration while the instance list can't be read
	Policy     Policy      `yaml:"policy,omitempty"`                             // admission, routing and retries
	TLS        *sets.TLS   `yaml:"tls,omitempty"`                                // mutual TLS with agents; if absent, plain TCP
	Stop       Stop        `yaml:"stop,omitempty"`                               // graceful shutdown
}

// HTTP configures the HTTP server for callers.
type HTTP struct {
	Listen       string `yaml:"listen" validate:"required,ip_port"`                    // IP:port
	MaxBodyBytes int    `yaml:"max_body_bytes,omitempty" validate:"min=0,max=1048576"` // maximum size of a request body; 0 means 262144
	MaxConns     int    `yaml:"max_conns,omitempty" validate:"min=0"`                  // maximum number of concurrent connections; 0 means 8192
	Cert         string `yaml:"cert,omitempty"`                                        // certificate file (PEM) for TLS with callers; if empty, plain HTTP
	Key          string `yaml:"key,omitempty" validate:"required_with=Cert"`           // private key file (PEM) of the certificate
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Config string `yaml:"config" validate:"required,ip_port"` // configuration service, IP:port
	List   string `yaml:"list" validate:"required,ip_port"`   // instance list, IP:port
}

// Policy selects how requests are admitted, routed and retried. The defaults are
// meant for production; other values are baselines for measurements.
type Policy struct {
	Route        route.Policy `yaml:"route,omitempty" validate:"omitempty,oneof=room round_robin random_two least_outstanding"` // how an endpoint is picked; empty means room, the free capacity reported by agents
	NoAdmission  bool         `yaml:"no_admission,omitempty"`                                                                   // turns off team shares, and starts stages that can't meet the deadline
	FixedRetries int          `yaml:"fixed_retries,omitempty" validate:"min=0,max=10"`                                          // maximum number of retries of a request, instead of a retry budget; 0 means the budget
	NoAffinity   bool         `yaml:"no_affinity,omitempty"`                                                                    // ignores prompt prefixes when picking endpoints
}

// Stop configures graceful shutdown.
type Stop struct {
	AcceptPeriod time.Duration `yaml:"accept,omitempty" validate:"min=0"`  // period in which requests are still accepted, until the load balancer has noticed; 0 means 1s
	Timeout      time.Duration `yaml:"longest,omitempty" validate:"min=0"` // maximum wait for requests in flight after that; 0 means 2m
}
