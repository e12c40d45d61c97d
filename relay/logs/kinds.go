package logs

import "github.com/phuslu/log"

// Rates of events, in lines per second.
const (
	requestRate = 200 // one line per request; an instance with half a core serves this many requests per second
	stepRate    = 400 // several lines per request
	changeRate  = 50  // changes of the process's state
)

// EventType is a type of event. Each line of the log reports one event.
type EventType struct {
	Name         string
	Level        log.Level // level of successful events; failures are warnings
	MaxPerSecond int       // maximum number of lines per second; further lines are omitted and counted
	Description  string    // meaning of the event
	Fields       []string  // names of the event's fields, which are keys of the map Fields
}

// Field describes a field of a line. Durations are in milliseconds.
type Field struct {
	Unit        string
	Description string // meaning of the field
}

// Types of events.
var (
	Started          = newEventType("started", log.InfoLevel, changeRate, "The process is serving.", "zone", "store", "settings")
	Stopping         = newEventType("stopping", log.InfoLevel, changeRate, "A stop signal was received.", "active", "longest_ms")
	Stopped          = newEventType("stopped", log.InfoLevel, changeRate, "The process exits.", "active")
	SettingsApplied  = newEventType("settings_applied", log.InfoLevel, changeRate, "Changed settings were applied.", "settings", "keys")
	SettingsRejected = newEventType("settings_rejected", log.ErrorLevel, changeRate, "Changed settings are invalid; the current settings stay active.", "settings", "error")
	LinesOmitted     = newEventType("lines_omitted", log.WarnLevel, changeRate, "Lines were omitted since the last line of this kind, because an event exceeded its rate or standard output was blocked.", "kind", "lines")
	AcceptFailed     = newEventType("accept_failed", log.WarnLevel, changeRate, "A connection can't be accepted, as descriptors or memory are short. It is tried again.", "addr", "error")

	ProcessStalled = newEventType("process_stalled", log.WarnLevel, changeRate, "The process didn't run for a while: it was paused, or got no processor time.", "took_ms")
	ReadLate       = newEventType("read_late", log.WarnLevel, changeRate, "Bytes of a caller were read after the time for them had passed, as the process had not looked before.", "caller")

	StoreLost         = newEventType("store_lost", log.WarnLevel, changeRate, "A read from the platform's store failed; the last snapshot stays active.", "error")
	StoreRegained     = newEventType("store_regained", log.WarnLevel, changeRate, "The store responds again.", "failures", "lost_ms")
	HistoryCompacted  = newEventType("history_gone", log.WarnLevel, changeRate, "The store no longer has the changes after a revision; all entries are read again.", "after")
	StoreRestored     = newEventType("store_restored", log.WarnLevel, changeRate, "The store came back from an older copy, or another relay said so; what was believed stays until it is written again.", "era", "after", "revision", "from")
	ViewReceived      = newEventType("view_learnt", log.InfoLevel, changeRate, "Changes to the store were received from another relay, which had read them.", "from", "entries", "age_ms", "bytes", "took_ms")
	ChangesOverdue    = newEventType("changes_overdue", log.WarnLevel, changeRate, "Changes to the store that were requested from another relay have not arrived in time; they are requested again.", "from", "took_ms", "behind_ms")
	ConfigApplied     = newEventType("config_applied", log.InfoLevel, changeRate, "A configuration became active.", "version", "revision", "routes", "took_ms")
	ConfigRejected    = newEventType("config_rejected", log.ErrorLevel, changeRate, "A configuration is invalid; the previous one stays active.", "revision", "error")
	ZoneDrained       = newEventType("zone_drained", log.InfoLevel, changeRate, "An availability zone was drained; its endpoints get no new requests.", "zone")
	ZoneReturned      = newEventType("zone_returned", log.InfoLevel, changeRate, "A drained availability zone is in use again; its endpoints count as cold for a period.", "zone")
	EndpointSeen      = newEventType("endpoint_seen", log.InfoLevel, changeRate, "An endpoint is new or has changed.", "endpoint", "service", "zone", "endpoint_version", "addr", "state", "cold", "revision", "seq", "up_ms")
	EndpointRemoved   = newEventType("endpoint_gone", log.InfoLevel, changeRate, "An endpoint is no longer listed and was removed.", "endpoint")
	EndpointMissing   = newEventType("endpoint_missing", log.InfoLevel, changeRate, "An endpoint is not listed after an outage of the store; it may still be running.", "endpoint", "grace_ms")
	EndpointRejected  = newEventType("endpoint_rejected", log.WarnLevel, changeRate, "A store entry can't be decoded to an endpoint and is ignored.", "endpoint", "revision", "error")
	EndpointSuspected = newEventType("endpoint_suspected", log.WarnLevel, changeRate, "An endpoint became suspect; it gets no requests for a period if other endpoints can take them.", "endpoint", "reason", "failures", "pause_ms")
	EndpointCleared   = newEventType("endpoint_cleared", log.InfoLevel, changeRate, "A suspect endpoint responded successfully and is no longer suspect.", "endpoint")
	EndpointDoubted   = newEventType("endpoint_doubted", log.WarnLevel, changeRate, "The incarnation of an endpoint that the store lists has ended. Streams go on there once a response over a connection that leads to it shows the contrary.", "endpoint", "service", "certain", "from")
	EndpointLimited   = newEventType("endpoint_limited", log.WarnLevel, changeRate, "An endpoint named a limit for the requests of all relays together, or another one.", "endpoint", "rate_limit", "source")
	EndpointLeaving   = newEventType("endpoint_leaving", log.WarnLevel, changeRate, "An endpoint said in a response that it leaves; it gets no new requests.", "endpoint", "source")
	EndpointClosed    = newEventType("endpoint_closed", log.WarnLevel, changeRate, "An endpoint rejected a request and named a time for which it wants none from this relay.", "endpoint", "pause_ms")
	LimitEnded        = newEventType("limit_ended", log.InfoLevel, changeRate, "An endpoint no longer names a limit.", "endpoint", "source")

	MemberDiscovered = newEventType("member_heard", log.InfoLevel, changeRate, "Another relay was discovered or has restarted.", "member", "addr", "zone", "from")
	MemberExpired    = newEventType("member_forgotten", log.InfoLevel, changeRate, "A relay was removed from the members because its last contact is too long ago.", "member")
	LinkUp           = newEventType("link_up", log.InfoLevel, changeRate, "A link to another relay was established.", "member", "addr")
	LinkDown         = newEventType("link_down", log.InfoLevel, changeRate, "A link could not be opened or has failed.", "addr", "error")
	LinkLost         = newEventType("link_lost", log.InfoLevel, changeRate, "An established link has closed; its pending items are placed again.", "member", "items", "error")

	EndpointCrashed   = newEventType("endpoint_crashed", log.WarnLevel, changeRate, "An endpoint that ran requests of this relay has ended without leaving.", "endpoint", "service", "requests_lost")
	Quarantined       = newEventType("quarantined", log.WarnLevel, changeRate, "Endpoints crash under requests with a subject in common, such as a part of their prompts. Requests with it, and with those of with, are rejected.", "subject", "with", "endpoints", "crashes", "pause_ms")
	OnProbation       = newEventType("on_probation", log.WarnLevel, changeRate, "Many endpoints crashed at once that ran requests with a subject in common. One request with it at a time is sent, until one comes to a good end or crashes another endpoint.", "subject", "endpoints", "crashes")
	QuarantineTrial   = newEventType("quarantine_trial", log.InfoLevel, changeRate, "This relay sends one request with a quarantined subject to an endpoint.", "subject")
	QuarantineEnded   = newEventType("quarantine_ended", log.InfoLevel, changeRate, "Requests with a subject are sent to endpoints again, as one came to a good end, or none crashed an endpoint for long.", "subject")
	KnowledgeRejected = newEventType("knowledge_rejected", log.ErrorLevel, changeRate, "Knowledge that relays share could not be encoded, or that of another relay could not be decoded.", "kind", "from", "error")

	RequestRejected = newEventType("request_rejected", log.InfoLevel, changeRate, "A caller sent an invalid HTTP request.", "caller", "status", "reason", "read_ms")
	HandlerPanicked = newEventType("handler_panicked", log.ErrorLevel, changeRate, "The code that handles a request has panicked. This is the last line of the request, whose caller got 502 unless its response had begun.", "request", "error", "stack")
	RequestDone     = newEventType("request_done", log.InfoLevel, requestRate, "A request has ended. This is the last line of a request.",
		"request", "route", "service", "team", "version", "status", "outcome", "attempts", "took_ms", "left_ms", "retry_after_ms",
		"first_event_ms", "longest_gap_ms", "resumes", "read_ms")
	StagesEstimated = newEventType("stages_estimated", log.InfoLevel, requestRate, "The time until a request's stages are done was estimated, with the current queues and with empty ones. The request is rejected if it, or more urgent ones that use the same stage services, can't meet their objectives because of the queues.",
		"request", "now_ms", "idle_ms", "slack_ms", "expected_ms", "limit_ms", "limited_by", "decided_by", "admitted")
	StagesDone     = newEventType("stages_done", log.InfoLevel, requestRate, "The stages of a request have returned all results or have failed.", "request", "took_ms", "results", "error")
	StagesRepeated = newEventType("stages_again", log.InfoLevel, requestRate, "The stages of a request are run again because their results are no longer available.", "request", "reason")
	StageCall      = newEventType("stage_call", log.InfoLevel, stepRate, "A call with items of one or more requests has ended.", "endpoint", "service", "requests", "items", "result", "took_ms", "error")
	ReleaseFailed  = newEventType("release_failed", log.InfoLevel, changeRate, "Results could not be released; the endpoint removes them when their retention ends.", "endpoint", "results", "error")
	AttemptStarted = newEventType("attempt_begun", log.InfoLevel, requestRate, "An endpoint was selected for an attempt of a request.",
		"request", "endpoint", "zone", "endpoint_version", "resumes", "attempt", "choice", "candidates", "held", "load", "affinity", "content", "parts", "prompt_tokens", "cached_tokens", "event_id", "left_ms", "view_age_ms",
		"predicted_ms", "ahead", "speed", "pace", "pace_age_ms")
	AttemptDone = newEventType("attempt_done", log.InfoLevel, requestRate, "An attempt at an endpoint has ended.",
		"request", "endpoint", "attempt", "end", "result", "reason", "since_ms")
	AttemptSilent = newEventType("attempt_silent", log.InfoLevel, requestRate, "An endpoint has sent nothing for longer than expected. Until another endpoint has been acquired, the attempt goes on.",
		"request", "endpoint", "attempt", "decision", "reason", "left_ms")
	OriginConcluded = newEventType("origin_concluded", log.InfoLevel, requestRate, "All that would remember where a stream began have forgotten it, as after a loss of everything. It goes on at the only version that its service has ever had.",
		"request", "stream", "endpoint_version", "entries")
	OriginSought = newEventType("origin_sought", log.InfoLevel, requestRate, "The relays that may remember where a stream began were asked, as its caller takes it up.",
		"request", "stream", "result", "asked", "answered", "took_ms")
	OriginStored = newEventType("origin_stored", log.InfoLevel, changeRate, "The first of the other relays that remember a stream has acknowledged the record of where it began, or the correction of that.",
		"stream", "member", "acked_ms")
	RetryDecided = newEventType("retry_decided", log.InfoLevel, requestRate, "It was decided whether a request is retried; if not, the reason is given.",
		"request", "retry", "reason", "saved", "event_id")
)

// Fields describes all fields of lines, by name.
var Fields = map[string]Field{
	"acked_ms":         {"ms", "time from sending the record to its acknowledgement"},
	"active":           {"", "requests in flight"},
	"addr":             {"", "IP:port"},
	"admitted":         {"", "whether the request was admitted; false: rejected immediately"},
	"affinity":         {"", "hash, in hexadecimal, of the part of the prompt that an endpoint may have cached; 0: none"},
	"after":            {"revision", "last revision that was read"},
	"age_ms":           {"ms", "time since any relay last read from the store"},
	"behind_ms":        {"ms", "time since the relay first heard of changes that it lacks"},
	"bytes":            {"bytes", "size of the changes as they were sent"},
	"certain":          {"", "whether the incarnation has ended; false: it may have"},
	"entries":          {"", "number of entries of the store"},
	"ahead":            {"requests", "estimated requests at the endpoint when it was selected by time; 0: selected otherwise"},
	"answered":         {"", "number of other relays that answered"},
	"asked":            {"", "number of other relays that were asked"},
	"attempt":          {"", "number of the attempt at an endpoint, from 1"},
	"attempts":         {"", "number of endpoints that may have run the request"},
	"caller":           {"", "IP:port"},
	"cached_tokens":    {"tokens", "part of the prompt that the engine has cached, as far as known; engines chosen by prompts only"},
	"candidates":       {"", "number of usable endpoints; with choice time, of those that were compared"},
	"choice":           {"", "why the endpoint was selected: prompt (earliest first event, by the prompts that all relays sent), affinity, load, time (least expected completion time of a few drawn at random), cold (within its share), or suspect (none better)"},
	"cold":             {"", "whether the endpoint is in cold start, in which it sustains a lower rate"},
	"content":          {"", "hash, in hexadecimal, of the request's team, method, host, path and body; requests with the same hash are the same work"},
	"crashes":          {"", "number of endpoints that crashed"},
	"decided_by":       {"", "what decided: in_time, short_queue (queued items delay it by little) or unlimited (admission is off) if admitted; objective (it would be late itself), team (it uses more than its share of a crowded pool) or urgent (routes that are at least as urgent would wait too long) if rejected"},
	"decision":         {"", "replaced (another endpoint was acquired), awaited (the reason tells why there is none) or ended (the endpoint can't be reached any more either)"},
	"end":              {"", "done, not_run, inputs (not run, results of stages are missing), failed (may have run) or gone (the caller disconnected)"},
	"endpoint":         {"", "ID of the endpoint"},
	"endpoints":        {"", "IDs of endpoints"},
	"endpoint_version": {"", "version of the endpoint's software"},
	"era":              {"", "number that rises each time that the store is restored from a copy"},
	"error":            {"", "error message"},
	"event_id":         {"", "ID of the last event of the stream that the caller has; -1: none"},
	"failures":         {"", "number of consecutive failures"},
	"expected_ms":      {"ms", "estimate with the current queues, corrected by how long recent requests of the route waited"},
	"first_event_ms":   {"ms", "time from the start of the request to the first event of its stream"},
	"from":             {"", "relay that sent the information"},
	"grace_ms":         {"ms", "time for which the endpoint is kept as a last resort"},
	"held":             {"", "endpoints of the service that get no request now because of what they have announced: closed, leaving, limit, with their number; empty: none"},
	"idle_ms":          {"ms", "estimate with empty queues"},
	"items":            {"", "number of items of stages"},
	"keys":             {"", "settings that changed"},
	"kind":             {"", "event whose lines were omitted; output: standard output was blocked"},
	"left_ms":          {"ms", "time until the deadline"},
	"limit_ms":         {"ms", "longest estimate that is admitted, for the request itself and for routes that are at least as urgent"},
	"limited_by":       {"", "name of the route whose objective sets the limit"},
	"lines":            {"", "number of omitted lines"},
	"load":             {"", "estimated share of the endpoint's slots in use"},
	"longest_gap_ms":   {"ms", "longest pause between two events of the stream"},
	"longest_ms":       {"ms", "maximum time until the process exits"},
	"lost_ms":          {"ms", "duration of the outage, from the first failed read"},
	"member":           {"", "instance ID of the other relay"},
	"now_ms":           {"ms", "estimate with the current queues"},
	"outcome":          {"", "how the request ended, as text"},
	"pace":             {"", "how long work takes at the endpoint, as it last reported, in multiples of the usual time; 0: not reported or not selected by time"},
	"pace_age_ms":      {"ms", "time since the endpoint reported its pace"},
	"parts":            {"", "hashes, in hexadecimal, of the parts of the prompt that other requests may share, the first ones if there are many"},
	"pause_ms":         {"ms", "time for which the endpoint gets no requests"},
	"predicted_ms":     {"ms", "predicted time to the end of the answer, or to the first event at an engine chosen by prompts; 0: not predicted"},
	"rate_limit":       {"requests/s", "requests that the endpoint takes from all relays together"},
	"prompt_tokens":    {"tokens", "size of the prompt"},
	"read_ms":          {"ms", "time from the first byte of the request to its last; in request_done left out below 1 ms"},
	"reason":           {"", "reason, as text"},
	"request":          {"", "ID of the caller's attempt"},
	"requests":         {"", "IDs of the callers' attempts"},
	"requests_lost":    {"", "number of this relay's requests that the endpoint was running"},
	"resumes":          {"", "ID of the caller's attempt that brought the first event of the stream; empty: the stream begins"},
	"result":           {"", "effect on the endpoint's health: good, full, failed or none. Of origin_sought: own (the relay has served the stream itself), found, unknown (the version can't be known), unrecorded (all that would remember it answered that they don't) or unanswered"},
	"results":          {"", "number of results of stages"},
	"retry":            {"", "whether the request is sent to another endpoint"},
	"retry_after_ms":   {"ms", "time after which the caller may retry; 0: not given"},
	"revision":         {"revision", "revision of the store's entry"},
	"route":            {"", "name of the route"},
	"routes":           {"", "number of routes"},
	"saved":            {"requests", "balance of the retry budget"},
	"seq":              {"", "number of writes of the endpoint's incarnation to the store"},
	"service":          {"", "name of the service"},
	"settings":         {"", "path of the settings file"},
	"since_ms":         {"ms", "time since the request began"},
	"slack_ms":         {"ms", "time until the stages must be done to meet the objective"},
	"source":           {"", "relay that learned it from a response; empty: this one"},
	"speed":            {"", "estimated speed of the endpoint, in multiples of the median of its service; 0: not selected by time"},
	"stack":            {"", "stack trace, cut at 4 KB"},
	"state":            {"", "ready or draining"},
	"status":           {"", "HTTP status of the response; 0: the connection was closed"},
	"store":            {"", "IP:port"},
	"stream":           {"", "ID of the caller's attempt that brought the first event of the stream; empty: not named"},
	"with":             {"", "IDs of further subjects, in hexadecimal: only requests with all of them are rejected"},
	"subject":          {"", "what requests have in common: prompt part, or request (all of it), and a hash in hexadecimal, as in parts and content"},
	"team":             {"", "name of the team"},
	"took_ms":          {"ms", "duration"},
	"up_ms":            {"ms", "time since the endpoint started, by its time of day"},
	"version":          {"", "version of the configuration"},
	"view_age_ms":      {"ms", "time since the last known contact with the store up to which the view is complete"},
	"zone":             {"", "availability zone"},
}

// All returns all types of events, in the order of this file.
func All() []*EventType { return eventTypes }

var eventTypes []*EventType

// newEventType creates an event type and adds it to the catalogue.
func newEventType(name string, level log.Level, maxPerSecond int, description string, fields ...string) *EventType {
	t := &EventType{Name: name, Level: level, MaxPerSecond: maxPerSecond, Description: description, Fields: fields}
	eventTypes = append(eventTypes, t)
	return t
}
