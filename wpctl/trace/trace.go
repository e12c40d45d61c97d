// Package trace collects the lines of one request from the logs of several relays
// and states the cause of its outcome.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	maxLineBytes = 1 << 20

	// A trace includes the events of endpoints and instances from contextBefore
	// before the request's first line to contextAfter after its last one. If the
	// request has no final line, the start of an instance is included for
	// restartWindow longer, since it shows that the instance crashed.
	contextBefore = 2 * time.Second
	contextAfter  = time.Second
	restartWindow = time.Minute

	outcomeAnswered      = "answered"
	eventRequestDone     = "request_done"
	eventAttemptBegun    = "attempt_begun"
	eventAttemptDone     = "attempt_done"
	eventRetryDecided    = "retry_decided"
	eventStagesEstimated = "stages_estimated"
	eventStageCall       = "stage_call"
	eventStarted         = "started"
)

// ErrNotFound reports that no log line mentions the request.
var ErrNotFound = errors.New("no log line mentions this request")

// Line is one line of a log.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	Subject  string         `json:"about,omitempty"` // endpoint or instance that the request depended on; empty: the request itself
	Fields   map[string]any `json:"fields"`
}

// Trace contains the log lines of a request.
type Trace struct {
	Request string `json:"request"` // ID of the caller's attempt
	Lines   []Line `json:"lines"`   // sorted by time
	Cause   string `json:"cause"`   // cause of the outcome, for people
}

// Gather reads the logs to their ends and returns the trace of a request. It skips
// lines that aren't JSON, or lack a time or an event. It returns ErrNotFound if no
// line mentions the request.
func Gather(id string, logs ...io.Reader) (*Trace, error) {
	t := &Trace{Request: id}
	var context []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			l, ok := parseLine(s.Bytes())
			if !ok {
				continue
			}
			if l.mentions(id) {
				t.Lines = append(t.Lines, l)
			} else if l.subject() != "" {
				context = append(context, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	if len(t.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	t.Lines = sortByTime(t.Lines)
	t.addContext(context)
	t.Cause = t.cause()
	return t, nil
}

// sortByTime sorts lines in place and returns them.
func sortByTime(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{') // a log collector may have added a prefix
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Event, _ = fields["event"].(string)
	l.Instance, _ = fields["instance"].(string)
	timestamp, _ := fields["time"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, timestamp); err != nil || l.Event == "" {
		return Line{}, false
	}
	for _, k := range []string{"event", "instance", "time", "program"} {
		delete(fields, k)
	}
	return l, true
}

// mentions reports whether the line is about the request, alone or among others.
func (l *Line) mentions(id string) bool {
	if l.Fields["request"] == id {
		return true
	}
	ids, _ := l.Fields["requests"].([]any)
	return slices.Contains(ids, any(id))
}

// subject returns the endpoint or instance whose change of state the line reports,
// or "" if it reports none.
func (l *Line) subject() string {
	switch {
	case strings.HasPrefix(l.Event, "endpoint_"):
		endpoint, _ := l.Fields["endpoint"].(string)
		return endpoint
	case l.Event == eventStarted, l.Event == "stopping", l.Event == "stopped", l.Event == "store_lost", l.Event == "store_regained":
		return l.Instance
	}
	return ""
}

// addContext adds those lines of context that are about an endpoint or instance
// that the request depended on, and close to the request in time.
func (t *Trace) addContext(context []Line) {
	used := make(map[string]bool)
	for _, l := range t.Lines {
		used[l.Instance] = true
		if endpoint, ok := l.Fields["endpoint"].(string); ok {
			used[endpoint] = true
		}
	}
	from, to := t.Lines[0].Time.Add(-contextBefore), t.Lines[len(t.Lines)-1].Time.Add(contextAfter)
	for _, l := range context {
		end := to
		if l.Event == eventStarted && t.lastLine(eventRequestDone, nil) == nil {
			end = to.Add(restartWindow)
		}
		if subject := l.subject(); used[subject] && l.Time.After(from) && l.Time.Before(end) {
			l.Subject = subject
			t.Lines = append(t.Lines, l)
		}
	}
	t.Lines = sortByTime(t.Lines)
}

// lastLine returns the request's last line of an event for which match returns
// true, or nil if there is none. A nil match accepts every line.
func (t *Trace) lastLine(event string, match func(l *Line) bool) *Line {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		l := &t.Lines[i]
		if l.Subject == "" && l.Event == event && (match == nil || match(l)) {
			return l
		}
	}
	return nil
}

// cause describes the outcome of the request and what led to it.
func (t *Trace) cause() string {
	done := t.lastLine(eventRequestDone, nil)
	if done == nil {
		return t.incompleteCause()
	}
	outcome := fieldText(done, "outcome")
	if outcome == outcomeAnswered {
		return t.answeredCause(done)
	}
	parts := []string{fmt.Sprintf("status %s: %s", fieldText(done, "status"), outcome)}
	if e := t.lastLine(eventStagesEstimated, func(l *Line) bool { return fieldText(l, "admitted") == "false" }); e != nil {
		text := fmt.Sprintf("its stages were estimated to take %s ms (%s ms with empty queues), but only %s ms were left",
			fieldText(e, "now_ms"), fieldText(e, "idle_ms"), fieldText(e, "slack_ms"))
		if limit := fieldText(e, "limit_ms"); limit != "" && limit != fieldText(e, "slack_ms") {
			text += fmt.Sprintf(", and the limit was %s ms (decided by %s, limited by %s)", limit, fieldText(e, "decided_by"), fieldText(e, "limited_by"))
		}
		parts = append(parts, text)
	}
	if c := t.lastLine(eventStageCall, func(l *Line) bool { return fieldText(l, "error") != "" }); c != nil {
		parts = append(parts, fmt.Sprintf("a stage call to %s failed: %s", fieldText(c, "endpoint"), fieldText(c, "error")))
	}
	if a := t.lastLine(eventAttemptDone, func(l *Line) bool { return fieldText(l, "end") != "done" }); a != nil {
		parts = append(parts, fmt.Sprintf("attempt %s at %s ended as %s: %s",
			fieldText(a, "attempt"), fieldText(a, "endpoint"), fieldText(a, "end"), fieldText(a, "reason")))
		parts = append(parts, t.endpointEvents(fieldText(a, "endpoint"))...)
	}
	if r := t.lastLine(eventRetryDecided, nil); r != nil && fieldText(r, "retry") == "false" {
		parts = append(parts, "not tried elsewhere: "+fieldText(r, "reason"))
	}
	return strings.Join(parts, "; ")
}

// endpointEvents returns the names of the events that were logged about an
// endpoint close to the request, as one text, or nil if there are none.
func (t *Trace) endpointEvents(endpoint string) []string {
	var out []string
	for _, l := range t.Lines {
		if l.Subject == endpoint && l.Event != "endpoint_seen" && !slices.Contains(out, l.Event) {
			out = append(out, l.Event)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return []string{endpoint + " around that time: " + strings.Join(out, ", ")}
}

// answeredCause describes an answered request: by which endpoint, and after which
// failed attempt.
func (t *Trace) answeredCause(done *Line) string {
	s := "status " + fieldText(done, "status") + ": answered"
	if a := t.lastLine(eventAttemptDone, func(l *Line) bool { return fieldText(l, "end") == "done" }); a != nil {
		s += " by " + fieldText(a, "endpoint")
	}
	if a := t.lastLine(eventAttemptDone, func(l *Line) bool { return fieldText(l, "end") != "done" }); a != nil {
		s += fmt.Sprintf(", after attempt %s at %s ended as %s: %s",
			fieldText(a, "attempt"), fieldText(a, "endpoint"), fieldText(a, "end"), fieldText(a, "reason"))
	}
	return s
}

// incompleteCause describes a request without a final line.
func (t *Trace) incompleteCause() string {
	last := t.Lines[0]
	for _, l := range t.Lines {
		if l.Fields["request"] == t.Request { // not a line of a relay that only ran some of its stages
			last = l
		}
	}
	for _, l := range t.Lines {
		if l.Event == eventStarted && l.Instance == last.Instance && l.Time.After(last.Time) {
			return "no final response: " + last.Instance + " stopped without logging it and was restarted"
		}
	}
	return "no final response in these logs; the last line was written by " + last.Instance
}

// fieldText formats the value of a field. It returns "" if the line lacks the
// field.
func fieldText(l *Line, key string) string {
	switch v := l.Fields[key].(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprintf("%.4g", v)
	default:
		return fmt.Sprint(v)
	}
}

// Write writes the trace in a form for people: one row for each line, then the
// cause.
func (t *Trace) Write(w io.Writer) error {
	for _, l := range t.Lines {
		mark := " "
		if l.Subject != "" {
			mark = "~"
		}
		row := fmt.Sprintf("%s %s %s %s", l.Time.Format("15:04:05.000"), mark, l.Instance, l.Event)
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := fieldText(&l, k); v != "" && k != "level" && k != "request" && k != "requests" {
				row += fmt.Sprintf(" %s=%q", k, v)
			}
		}
		if _, err := fmt.Fprintln(w, row); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	if _, err := fmt.Fprintln(w, "cause:", t.Cause); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}
