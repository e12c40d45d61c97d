package site

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// StreamClass is a kind of request whose responses are event streams that callers may take
// up at another relay.
type StreamClass struct {
	Name      string
	Rate      float64       // requests per second
	Deadline  time.Duration // of a request
	NumEvents int           // per stream
}

// Prefix returns the prefix of the URIs of the class.
func (c StreamClass) Prefix() string { return "/" + c.Name + "/" }

// StreamSite describes a site whose engines send resumable streams.
type StreamSite struct {
	Classes   []StreamClass
	Zones     int
	Engines   int
	Hosts     int           // machines of engines, which share them
	Others    int           // endpoints of another service, which get no requests
	EventTime time.Duration // between two events
	History   time.Duration // for which the store keeps its changes
}

const (
	streamSlots    = 64
	streamMaxConns = 730
	storePageItems = 500
)

// Zone returns the name of an availability zone, by its number.
func (c StreamSite) Zone(n int) string { return fmt.Sprint("z", 1+n%c.Zones) }

// Host returns the address of a machine of engines, by its number, and its availability zone.
func (c StreamSite) Host(n int) (ip, zone string) {
	return fmt.Sprintf("127.1.%d.%d", 1+n%c.Zones, 1+n/c.Zones), c.Zone(n)
}

// Start starts the site with engines of one software version and publishes its
// configuration.
func (c StreamSite) Start(version string) (*Site, error) {
	s, err := New()
	if err != nil {
		return nil, err
	}
	s.Store.PageItems, s.Store.Retention = storePageItems, c.History
	for n := range c.Engines {
		ip, zone := c.Host(n % c.Hosts)
		e, err := c.StartEngine(s, fmt.Sprint("engine-", n), ip, zone, version)
		if err == nil {
			err = s.Register(e.ID, "ready")
		}
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	for n := range c.Others {
		if err := s.StartPlain(fmt.Sprint("desk-", n), c.Zone(n)); err != nil {
			return nil, err
		}
	}
	return s, s.PublishConfig(c.config())
}

// StartEngine starts an engine on a machine, without registering it.
func (c StreamSite) StartEngine(s *Site, id, ip, zone, version string) (*Endpoint, error) {
	return s.startAt(net.JoinHostPort(ip, "0"), Spec{
		ID: id, Zone: zone, Version: version, Service: engineService, Kind: KindEngine, Slots: streamSlots, WorkTime: c.EventTime, Events: c.events,
	})
}

// ShiftStart moves the time at which the endpoint says that it has started, as on a machine
// whose time of day is wrong.
func (e *Endpoint) ShiftStart(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startUnixMs += d.Milliseconds()
}

func (c StreamSite) events(uri string) int {
	for _, class := range c.Classes {
		if strings.HasPrefix(uri, class.Prefix()) {
			return class.NumEvents
		}
	}
	return 0
}

func (c StreamSite) config() map[string]any {
	config := StandardConfig(1)
	routes := make([]any, 0, len(c.Classes))
	for _, class := range c.Classes {
		routes = append(routes, map[string]any{
			"name": class.Name, "host": StandardHost, "prefix": class.Prefix(), "type": "streaming", "service": engineService,
			"timeoutMs": class.Deadline.Milliseconds(), "sloMs": latencyObjectiveMs, "maxGapMs": maxEventGapMs, "maxAttempts": 2, "priority": 1,
			"resumable": true, "sticky": true,
		})
	}
	config["routes"] = routes
	config["services"] = []any{
		map[string]any{"name": plainService, "maxConns": streamMaxConns},
		map[string]any{"name": engineService, "maxConns": streamMaxConns, "engine": map[string]any{"slots": streamSlots, "kvCapacity": kvCapacityTokens}},
	}
	return config
}

// Event returns an event as an endpoint of a software version generates it.
func Event(uri string, id int, version string) string { return formatEvent(uri, id, version) }

// ParseEvent returns the ID of an event of a stream and the software version of the
// endpoint that generated it, and false if no endpoint generates it.
func ParseEvent(text, uri string) (id int, version string, ok bool) {
	if _, err := fmt.Sscanf(text, "id: %d\n", &id); err != nil {
		return 0, "", false
	}
	_, version, _ = strings.Cut(strings.TrimSuffix(text, "\n\n"), " at ")
	return id, version, text == formatEvent(uri, id, version)
}
