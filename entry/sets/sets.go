// Package sets defines the entry's settings file.
package sets

import (
	"time"

	"wigeonplank.example/base/sets"
	"wigeonplank.example/core/route"
)

// Settings is what an entry reads at its start.
type Settings struct {
	Instance   string      `yaml:"instance" validate:"required"`                 // ID of the instance
	Zone       string      `yaml:"zone" validate:"required"`                     // availability zone of the instance
	HTTP       HTTP        `yaml:"http"`                                         // callers
	Admin      sets.Listen `yaml:"admin"`                                        // operators' pages
	Platform   Platform    `yaml:"platform"`                                     // the platform's services
	Neighbours []string    `yaml:"neighbours,omitempty" validate:"dive,ip_port"` // agents that are asked for the configuration while the list is down
	Policy     Policy      `yaml:"policy,omitempty"`
	TLS        *sets.TLS   `yaml:"tls,omitempty"` // mutual TLS with agents; absent: plain TCP
	Stop       Stop        `yaml:"stop,omitempty"`
}

// HTTP is the callers' side.
type HTTP struct {
	Listen       string `yaml:"listen" validate:"required,ip_port"`                    // IP:port
	MaxBodyBytes int    `yaml:"max_body_bytes,omitempty" validate:"min=0,max=1048576"` // 0: 262144
	MaxConns     int    `yaml:"max_conns,omitempty" validate:"min=0"`                  // 0: 8192
	Cert         string `yaml:"cert,omitempty"`                                        // TLS to callers; empty: plain HTTP
	Key          string `yaml:"key,omitempty" validate:"required_with=Cert"`
}

// Platform is where the platform's services are.
type Platform struct {
	Config string `yaml:"config" validate:"required,ip_port"` // configuration service, IP:port
	List   string `yaml:"list" validate:"required,ip_port"`   // instance list, IP:port
}

// Policy selects how work is routed. The defaults are the product; the rest are
// baselines to measure against.
type Policy struct {
	Route        route.Policy `yaml:"route,omitempty" validate:"omitempty,oneof=room round_robin random_two least_outstanding"`
	NoAdmission  bool         `yaml:"no_admission,omitempty"`                          // no fair share, and stages start that can't be in time
	FixedRetries int          `yaml:"fixed_retries,omitempty" validate:"min=0,max=10"` // retries for each request in place of a budget
	NoAffinity   bool         `yaml:"no_affinity,omitempty"`                           // prompt prefixes don't matter
}

// Stop sets the pace of a graceful shutdown.
type Stop struct {
	Accept  time.Duration `yaml:"accept,omitempty" validate:"min=0"`  // requests are still taken so long, until the balancer has noticed; 0: 1s
	Longest time.Duration `yaml:"longest,omitempty" validate:"min=0"` // wait for running requests; 0: 2m
}
