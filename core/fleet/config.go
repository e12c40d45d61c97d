package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Config is a validated configuration.
type Config struct {
	Version  int64
	Revision int64 // store revision of the item that holds the configuration
	Limits   Limits

	routes      map[string][]*Route // by lower-case host, longest prefix first
	services    map[string]*Service // by name
	teams       map[string]*Team    // by key
	requiresKey bool
	contended   map[string]bool // stage services; see IsContended
}

// ConfigError reports why a configuration is invalid.
type ConfigError struct {
	Version int64
	Reason  string
}

// Error returns the version and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration %d: %s", e.Version, e.Reason)
}

// Parts is the content of a configuration before validation.
type Parts struct {
	Routes      []*Route
	Services    []*Service
	Teams       map[string]*Team // by key
	RequiresKey bool             // requests to routes that aren't public need a key
}

// NewConfig validates p and returns the configuration. Any error is a
// *ConfigError.
func NewConfig(version, revision int64, limits Limits, p Parts) (*Config, error) {
	c := &Config{
		Version: version, Revision: revision, Limits: limits,
		routes:      make(map[string][]*Route),
		services:    make(map[string]*Service, len(p.Services)),
		teams:       p.Teams,
		requiresKey: p.RequiresKey,
	}
	for _, s := range p.Services {
		c.services[s.Name] = s
	}
	for _, r := range p.Routes {
		if reason := c.validateRoute(r); reason != "" {
			return nil, &ConfigError{Version: version, Reason: reason}
		}
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.contended = contendedServices(p.Routes)
	return c, nil
}

// contendedServices returns the stage services that a route shares with a more urgent one
// that has the same stage services and a shorter latency objective.
func contendedServices(routes []*Route) map[string]bool {
	chains := make(map[string][]*Route) // routes by their stage services
	for _, r := range routes {
		if len(r.Stages) > 0 {
			key := strings.Join(r.stageServices(), "\x00")
			chains[key] = append(chains[key], r)
		}
	}
	out := make(map[string]bool)
	for _, list := range chains {
		if slices.ContainsFunc(list, func(a *Route) bool {
			return slices.ContainsFunc(list, func(b *Route) bool { return a.Priority > b.Priority && a.LatencyObjective > b.LatencyObjective })
		}) {
			for _, service := range list[0].stageServices() {
				out[service] = true
			}
		}
	}
	return out
}

// stageServices returns the services of the route's stages, sorted, each once.
func (r *Route) stageServices() []string {
	out := make([]string, 0, len(r.Stages))
	for _, s := range r.Stages {
		out = append(out, s.Service)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// IsContended reports whether a route shares a stage service, and all others of its stages,
// with a more urgent one that has a shorter latency objective. With the items of both
// ordered by due time alone, the less urgent route would be served better. Routes with
// different stages don't count: an item is due the sooner the more stages follow.
func (c *Config) IsContended(service string) bool { return c.contended[service] }

// validateRoute returns why r is invalid, or "".
func (c *Config) validateRoute(r *Route) string {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Sprintf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return fmt.Sprintf("route %q: no target service", r.Name)
	}
	for i, s := range r.Stages {
		svc := c.services[s.Service]
		if svc == nil || svc.Batch == nil {
			return fmt.Sprintf("route %q, stage %d: service %q doesn't accept stage calls", r.Name, i, s.Service)
		}
		for _, dep := range s.DependsOn {
			if dep < 0 || dep >= len(r.Stages) || dep == i {
				return fmt.Sprintf("route %q, stage %d: invalid dependency on stage %d", r.Name, i, dep)
			}
		}
	}
	if i := findCycle(r.Stages); i >= 0 {
		return fmt.Sprintf("route %q, stage %d: depends on itself through other stages", r.Name, i)
	}
	return ""
}

// findCycle returns the index of a stage that can never start, because its
// dependencies form a cycle, or -1. All dependencies must be valid indexes.
func findCycle(stages []Stage) int {
	done := make([]bool, len(stages))
	for range stages {
		for i, s := range stages {
			done[i] = !slices.ContainsFunc(s.DependsOn, func(dep int) bool { return !done[dep] })
		}
	}
	return slices.Index(done, false)
}

// Match returns the route with the longest prefix that matches a request, or
// nil. path is the path as the caller sent it, without the query.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := c.routes[host]
	if !ok {
		// A Host header may include the port.
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

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// TeamByKey returns the team that owns key.
func (c *Config) TeamByKey(key string) (*Team, bool) {
	t, ok := c.teams[key]
	return t, ok
}

// RequiresKey reports whether requests to routes that aren't public need a key.
func (c *Config) RequiresKey() bool { return c.requiresKey }

// Routes returns all routes, sorted by host, and for each host as Match tries them.
func (c *Config) Routes() []*Route {
	var out []*Route
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		out = append(out, c.routes[host]...)
	}
	return out
}

// NumRoutes returns the number of routes.
func (c *Config) NumRoutes() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}
