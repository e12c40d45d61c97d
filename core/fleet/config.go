package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Config is an accepted configuration.
type Config struct {
	Version  int64
	Revision int64 // of the item that holds it
	Limits   Limits

	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
	teams    map[string]*Team // by key
	keyed    bool
}

// ConfigError says what makes a configuration unusable.
type ConfigError struct {
	Version int64
	Reason  string
}

// Error names the version and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration %d: %s", e.Version, e.Reason)
}

// Parts are the contents of a configuration before they are checked.
type Parts struct {
	Routes   []*Route
	Services []*Service
	Teams    map[string]*Team // by key
	Keyed    bool             // requests need a key
}

// NewConfig checks parts and returns the configuration. Any error is a
// *ConfigError.
func NewConfig(version, revision int64, limits Limits, p Parts) (*Config, error) {
	c := &Config{
		Version: version, Revision: revision, Limits: limits,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(p.Services)),
		teams:    p.Teams,
		keyed:    p.Keyed,
	}
	for _, s := range p.Services {
		c.services[s.Name] = s
	}
	for _, r := range p.Routes {
		if reason := c.check(r); reason != "" {
			return nil, &ConfigError{Version: version, Reason: reason}
		}
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c, nil
}

func (c *Config) check(r *Route) string {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Sprintf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return fmt.Sprintf("route %q names no service", r.Name)
	}
	for i, s := range r.Stages {
		svc := c.services[s.Service]
		if svc == nil || svc.Batch == nil {
			return fmt.Sprintf("route %q, stage %d: service %q takes no stage calls", r.Name, i, s.Service)
		}
		for _, a := range s.After {
			if a < 0 || a >= len(r.Stages) || a == i {
				return fmt.Sprintf("route %q, stage %d: comes after stage %d, which is not there", r.Name, i, a)
			}
		}
	}
	return ""
}

// Match returns the route of a request with the longest prefix, or nil. path is
// as the caller sent it, without its query.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := c.routes[host]
	if !ok {
		// A Host header may name the port as well.
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			list = c.routes[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Team returns the team that holds key.
func (c *Config) Team(key string) (*Team, bool) {
	t, ok := c.teams[key]
	return t, ok
}

// Keyed reports whether requests need a key.
func (c *Config) Keyed() bool { return c.keyed }

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, l := range c.routes {
		n += len(l)
	}
	return n
}
