package origin

import (
	"cmp"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/fleet"
)

// MaxHosts is the number of hosts at which a relay has its streams remembered.
const MaxHosts = 12

// Host is a machine of endpoints, beside which a keeper may run.
type Host struct {
	IP   string
	Zone string // availability zone
}

// Hosts returns the hosts at which streams are remembered, in the same order for all relays
// that have the same view: by hash, and one of each availability zone before a second one of
// any. They run endpoints of the services to which resumable streams are routed, also ones
// that drain or whose zone is drained.
func Hosts(view *fleet.View) []Host {
	services := streamServices(view.Config)
	zones := make(map[string]string) // by IP
	for _, e := range view.All() {
		if ip, _, err := net.SplitHostPort(e.Addr); err == nil && services[e.Service] {
			zones[ip] = max(zones[ip], e.Zone) // the same one if they differ
		}
	}
	type place struct {
		Host
		hash uint64
		nth  int // of its zone
	}
	places := make([]place, 0, len(zones))
	for ip, zone := range zones {
		places = append(places, place{Host: Host{IP: ip, Zone: zone}, hash: xxhash.Sum64String(ip)})
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.IP, b.IP)) })
	seen := make(map[string]int) // by zone
	for i, p := range places {
		places[i].nth = seen[p.Zone]
		seen[p.Zone]++
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.nth, b.nth) })
	out := make([]Host, 0, MaxHosts)
	for _, p := range places[:min(len(places), MaxHosts)] {
		out = append(out, p.Host)
	}
	return out
}

// streamServices returns the services to which resumable streams are routed.
func streamServices(c *fleet.Config) map[string]bool {
	out := make(map[string]bool)
	if c == nil {
		return out
	}
	for _, r := range c.Routes() {
		if r.Kind != fleet.KindStream || !r.Resumable {
			continue
		}
		for _, t := range r.Targets {
			out[t.Service] = true
		}
	}
	return out
}
