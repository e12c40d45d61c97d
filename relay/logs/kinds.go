package logs

import "github.com/phuslu/log"

// Rates of kinds, lines a second.
const (
	rateRequest = 200 // one for each request: as many as an instance with half a core serves
	rateStep    = 400 // several for each request
	rateRare    = 50  // changes of what the process believes
)

// Kind is a kind of line.
type Kind struct {
	Name      string
	Level     log.Level // of what went well; failures are warnings
	PerSecond int       // lines; more are left out and counted
	Text      string
	Fields    []string // keys of Fields
}

// Field says what a field of a line holds. Durations are in milliseconds.
type Field struct {
	Unit string
	Text string
}

// Kinds of lines.
var (
	Started          = kind("started", log.InfoLevel, rateRare, "The process serves.", "zone", "store", "settings")
	Stopping         = kind("stopping", log.InfoLevel, rateRare, "A signal to stop came.", "active", "longest_ms")
	Stopped          = kind("stopped", log.InfoLevel, rateRare, "The process ends.", "active")
	SettingsApplied  = kind("settings_applied", log.InfoLevel, rateRare, "Changed settings are in force.", "settings", "keys")
	SettingsRejected = kind("settings_rejected", log.ErrorLevel, rateRare, "Changed settings can't be used; the old ones stay in force.", "settings", "error")
	LinesOmitted     = kind("lines_omitted", log.WarnLevel, rateRare, "Lines were left out since the last such line: of a kind that wrote enough, or for want of output.", "kind", "lines")

	StoreLost         = kind("store_lost", log.WarnLevel, rateRare, "A read from the platform's store failed; what was learnt stays in force.", "error")
	StoreRegained     = kind("store_regained", log.WarnLevel, rateRare, "The store answers again.", "failures", "lost_ms")
	HistoryGone       = kind("history_gone", log.WarnLevel, rateRare, "The store no longer holds the changes after a revision; all is read anew.", "after")
	ViewLearnt        = kind("view_learnt", log.InfoLevel, rateRare, "Another relay told what it has learnt from the store, which this one can't read yet.", "from", "entries", "age_ms")
	ConfigApplied     = kind("config_applied", log.InfoLevel, rateRare, "A configuration is in force.", "version", "revision", "routes")
	ConfigRejected    = kind("config_rejected", log.ErrorLevel, rateRare, "A configuration can't be used; the one before stays in force.", "revision", "error")
	ZoneDrained       = kind("zone_drained", log.InfoLevel, rateRare, "Nothing is sent to the endpoints of a zone from now on.", "zone")
	ZoneReturned      = kind("zone_returned", log.InfoLevel, rateRare, "A zone is in use again; its endpoints count as cold for a while.", "zone")
	EndpointSeen      = kind("endpoint_seen", log.InfoLevel, rateRare, "An endpoint is new or has changed.", "endpoint", "service", "zone", "addr", "state", "cold", "revision")
	EndpointGone      = kind("endpoint_gone", log.InfoLevel, rateRare, "An endpoint is no longer listed.", "endpoint")
	EndpointMissing   = kind("endpoint_missing", log.InfoLevel, rateRare, "An endpoint is not listed after an outage of the store; it may yet be well.", "endpoint", "grace_ms")
	EndpointRejected  = kind("endpoint_rejected", log.WarnLevel, rateRare, "An entry can't be read and names no endpoint.", "endpoint", "revision", "error")
	EndpointSuspected = kind("endpoint_suspected", log.WarnLevel, rateRare, "An endpoint gets no work for a while, if others can take it.", "endpoint", "reason", "failures", "pause_ms")
	EndpointCleared   = kind("endpoint_cleared", log.InfoLevel, rateRare, "A suspected endpoint answered well.", "endpoint")

	MemberHeard     = kind("member_heard", log.InfoLevel, rateRare, "Another relay is known, or has started again.", "member", "addr", "zone", "from")
	MemberForgotten = kind("member_forgotten", log.InfoLevel, rateRare, "A relay was not heard of for long.", "member")
	LinkUp          = kind("link_up", log.InfoLevel, rateRare, "A link to another relay carries work.", "member", "addr")
	LinkDown        = kind("link_down", log.InfoLevel, rateRare, "A link could not be opened or has failed.", "addr", "error")
	LinkLost        = kind("link_lost", log.InfoLevel, rateRare, "A link that carried work has ended; its items are placed anew.", "member", "items")

	RequestRejected = kind("request_rejected", log.InfoLevel, rateRare, "What a caller sent is no proper request.", "caller", "status", "reason")
	RequestDone     = kind("request_done", log.InfoLevel, rateRequest, "A request has its final answer. This is the last line of a request.",
		"request", "route", "service", "team", "version", "status", "outcome", "attempts", "took_ms", "left_ms", "retry_after_ms")
	StagesEstimated = kind("stages_estimated", log.InfoLevel, rateRequest, "How long a request's stages will take now, and would take with nothing before them. It is refused if that is too long and others are the reason.",
		"request", "now_ms", "idle_ms", "slack_ms", "admitted")
	StagesDone    = kind("stages_done", log.InfoLevel, rateRequest, "The results of a request's stages are there, or won't be.", "request", "took_ms", "results", "error")
	StagesAgain   = kind("stages_again", log.InfoLevel, rateRequest, "The stages of a request run once more, as their results are gone.", "request", "reason")
	StageCall     = kind("stage_call", log.InfoLevel, rateStep, "A call with items of some requests has ended.", "endpoint", "service", "requests", "items", "result", "took_ms", "error")
	ReleaseFailed = kind("release_failed", log.InfoLevel, rateRare, "Results could not be given up; they go away by themselves.", "endpoint", "results", "error")
	AttemptBegun  = kind("attempt_begun", log.InfoLevel, rateRequest, "An endpoint was chosen for a request.",
		"request", "endpoint", "zone", "attempt", "choice", "candidates", "load", "affinity", "event_id", "left_ms")
	AttemptDone = kind("attempt_done", log.InfoLevel, rateRequest, "An attempt at an endpoint has ended.",
		"request", "endpoint", "attempt", "end", "result", "reason", "since_ms")
	RetryDecided = kind("retry_decided", log.InfoLevel, rateRequest, "Whether a request goes to another endpoint, and why not.",
		"request", "retry", "reason", "saved", "event_id")
)

// Fields are all fields of lines, by name.
var Fields = map[string]Field{
	"active":         {"", "requests under way"},
	"addr":           {"", "IP:port"},
	"admitted":       {"", "false: refused at once"},
	"affinity":       {"", "hash of the part of the prompt that should meet its cache, hexadecimal; 0: none"},
	"after":          {"revision", "the last one that was known"},
	"age_ms":         {"ms", "time since the other relay heard from the store"},
	"entries":        {"", "entries of the store"},
	"attempt":        {"", "number of the attempt at an endpoint, from 1"},
	"attempts":       {"", "endpoints that may have run the request"},
	"caller":         {"", "IP:port"},
	"candidates":     {"", "endpoints that were usable"},
	"choice":         {"", "why this endpoint: affinity, load, cold (within its share), or suspect (none better)"},
	"cold":           {"", "the endpoint has just started and bears little"},
	"end":            {"", "done, not_run, inputs (not run, results of stages are gone), failed (may have run) or gone (the caller went away)"},
	"endpoint":       {"", "ID of the endpoint"},
	"error":          {"", "what went wrong"},
	"event_id":       {"", "last event of the stream that the caller has; -1: none"},
	"failures":       {"", "failures in a row"},
	"from":           {"", "relay that told of it"},
	"grace_ms":       {"ms", "how long it is kept as a last resort"},
	"idle_ms":        {"ms", "estimate with nothing waiting"},
	"items":          {"", "items of stages"},
	"keys":           {"", "settings that changed"},
	"kind":           {"", "kind of line; output: standard output took no more"},
	"left_ms":        {"ms", "time left to the deadline"},
	"lines":          {"", "lines left out"},
	"load":           {"", "share of the endpoint's slots in use, as believed"},
	"longest_ms":     {"ms", "time until the process ends"},
	"lost_ms":        {"ms", "time since the last answer"},
	"member":         {"", "instance of the other relay"},
	"now_ms":         {"ms", "estimate with what waits now"},
	"outcome":        {"", "what became of the request, in words"},
	"pause_ms":       {"ms", "time without work"},
	"reason":         {"", "why"},
	"request":        {"", "ID of the caller's attempt"},
	"requests":       {"", "IDs of the callers' attempts"},
	"result":         {"", "what it says of the endpoint: good, full, failed or none"},
	"results":        {"", "results of stages"},
	"retry":          {"", "true: another endpoint is tried"},
	"retry_after_ms": {"ms", "when the caller may come back; 0: not said"},
	"revision":       {"revision", "of the store's entry"},
	"route":          {"", "name of the route"},
	"routes":         {"", "number of routes"},
	"saved":          {"requests", "what the retry budget held"},
	"service":        {"", "name of the service"},
	"settings":       {"", "file"},
	"since_ms":       {"ms", "time since the request began"},
	"slack_ms":       {"ms", "time left to the objective"},
	"state":          {"", "ready or draining"},
	"status":         {"", "HTTP status of the answer; 0: the connection was closed"},
	"store":          {"", "IP:port"},
	"team":           {"", "name of the team"},
	"took_ms":        {"ms", "how long it took"},
	"version":        {"", "version of the configuration"},
	"zone":           {"", "availability zone"},
}

// All returns all kinds, in the order of this file.
func All() []*Kind { return all }

var all []*Kind

func kind(name string, level log.Level, perSecond int, text string, fields ...string) *Kind {
	k := &Kind{Name: name, Level: level, PerSecond: perSecond, Text: text, Fields: fields}
	all = append(all, k)
	return k
}
