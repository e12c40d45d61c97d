package site

import (
	"fmt"
	"strings"
	"time"
)

// Properties of the site that StartStandard starts.
const (
	StandardHost = "site.example"
	StandardKey  = "key-1"
	StandardTeam = "team-1"

	StandardEventCount = 8 // per stream

	engineService = "engines"
	engineSlots   = 16
	plainService  = "desk"
	plainSlots    = 8

	workTime           = 5 * time.Millisecond // short, so that a demo completes many requests
	maxStageItems      = 4
	routeTimeoutMs     = 20_000 // longer than any test waits
	latencyObjectiveMs = 2_000
	maxEventGapMs      = 500
	resultBytes        = 1_000
	stageHeadroomMB    = 10
	kvCapacityTokens   = 100_000
)

// StandardZones returns the availability zones of the standard site.
func StandardZones() []string { return []string{"z1", "z2"} }

// StartStandard starts a site and publishes its configuration. The site has two
// plain endpoints (p1, p2), two engines (g1, g2) and two endpoints of each of two
// stages (e1, e2 and r1, r2). Those numbered 1 are in zone z1, those numbered 2 in
// zone z2.
func StartStandard() (*Site, error) {
	s, err := New()
	if err != nil {
		return nil, err
	}
	for i, zone := range StandardZones() {
		for _, spec := range []Spec{
			{ID: "p", Service: plainService, Kind: KindPlain, Slots: plainSlots},
			{ID: "g", Service: engineService, Kind: KindEngine, Slots: engineSlots, EventCount: StandardEventCount},
			{ID: "e", Service: "encode", Kind: KindStage, Slots: 1, MaxItems: maxStageItems},
			{ID: "r", Service: "retrieve", Kind: KindStage, Slots: 1, MaxItems: maxStageItems},
		} {
			spec.ID = fmt.Sprint(spec.ID, i+1)
			spec.Zone, spec.WorkTime = zone, workTime
			if _, err := s.StartEndpoint(spec); err != nil {
				return nil, err
			}
		}
	}
	return s, s.PublishConfig(StandardConfig(1))
}

// StartEngine starts an engine of the standard site with a software version, which
// needs a time for each event.
func (s *Site) StartEngine(id, zone, version string, eventTime time.Duration) error {
	_, err := s.StartEndpoint(Spec{
		ID: id, Zone: zone, Version: version, Service: engineService, Kind: KindEngine, Slots: engineSlots, WorkTime: eventTime, EventCount: StandardEventCount,
	})
	return err
}

// StartPlain starts a plain endpoint of the standard site.
func (s *Site) StartPlain(id, zone string) error {
	_, err := s.StartEndpoint(Spec{ID: id, Zone: zone, Service: plainService, Kind: KindPlain, Slots: plainSlots, WorkTime: workTime})
	return err
}

// StartStage starts an endpoint of a stage of the standard site.
func (s *Site) StartStage(id, zone, service string) error {
	_, err := s.StartEndpoint(Spec{ID: id, Zone: zone, Service: service, Kind: KindStage, Slots: 1, MaxItems: maxStageItems, WorkTime: workTime})
	return err
}

// StandardConfig returns the configuration of the standard site, as it is written
// into the store, with the given version. Each call returns a new map that the
// caller may change.
func StandardConfig(version int) map[string]any {
	route := func(prefix, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": "route" + prefix, "host": StandardHost, "prefix": prefix, "type": kind, "service": service,
			"timeoutMs": routeTimeoutMs, "sloMs": latencyObjectiveMs, "maxGapMs": maxEventGapMs, "maxAttempts": 2, "priority": 1,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	stages := []any{
		map[string]any{"service": "encode", "after": []int{}, "bytes": resultBytes},
		map[string]any{"service": "retrieve", "after": []int{0}, "bytes": resultBytes},
	}
	stageService := func(name string) map[string]any {
		return map[string]any{"name": name, "maxConns": 50, "segments": map[string]any{
			"slots": 1, "queue": 8, "batch": maxStageItems, "callMs": workTime.Milliseconds(), "itemMs": 1,
			"headroomMb": stageHeadroomMB, "handleS": 30, "linkMbps": 1000,
		}}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("/plain/", "idempotent", plainService, nil),
			route("/once/", "non_idempotent", plainService, nil),
			route("/review/", "streaming", engineService, map[string]any{"resumable": true, "sticky": true, "stages": stages}),
			route("/note/", "streaming", engineService, nil),
		},
		"services": []any{
			map[string]any{"name": plainService, "maxConns": 50, "coldS": 1, "coldPerS": 5},
			map[string]any{"name": engineService, "maxConns": 50, "engine": map[string]any{"slots": engineSlots, "kvCapacity": kvCapacityTokens}},
			stageService("encode"),
			stageService("retrieve"),
		},
		"limits": map[string]any{
			"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 2000, "idleTimeoutMs": 30_000,
		},
		"tenants": []any{map[string]any{"name": StandardTeam, "apiKeys": []string{StandardKey}}},
	}
}

// StandardConfigWithKey returns the configuration of the standard site with another API
// key in place of StandardKey.
func StandardConfigWithKey(version int, key string) map[string]any {
	config := StandardConfig(version)
	config["tenants"] = []any{map[string]any{"name": StandardTeam, "apiKeys": []string{key}}}
	return config
}

// Entry returns the value of the store entry of an endpoint of a service "s", at an address at which
// nothing listens.
func Entry(zone, state string, startUnixMs, seq int64) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"127.0.0.1:9","zone":%q,"version":"v1","slots":1,"state":%q,"coldLeftMs":0,"born":%d,"seq":%d}`, zone, state, startUnixMs, seq)
}

// OddEntries returns values of store entries that name no endpoint, as another writer may
// leave them.
func OddEntries() []string {
	entry := func(address, extra string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"born":1,"seq":1%s}`, plainService, address, extra)
	}
	return []string{
		"", "null", "[]", "\xff\xfe", strings.Repeat("[", 100_000), `{"service":` + strings.Repeat(`{"a":`, 100_000),
		entry("127.0.0.1:65536", ""), entry("127.0.0.1:0", ""), entry("127.0.0.1:-1", ""), entry("127.0.0.1:9", `,"slots":1e400`),
		entry("127.0.0.1:9", `,"born":99999999999999999999`), entry("127.0.0.1:9", `,"state":"sleepy"`),
		entry("127.0.0.1:9", `,"version":null`), entry("127.0.0.1:9", `,"zone":""`),
	}
}

// SetIdleLimit sets for how long callers' connections may be idle by a configuration of
// StandardConfig.
func SetIdleLimit(config map[string]any, limit time.Duration) {
	config["limits"].(map[string]any)["idleTimeoutMs"] = limit.Milliseconds()
}
