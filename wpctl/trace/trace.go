// Package trace gathers what the logs of several processes say of one request,
// and names the cause of its end.
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
	lineBytes   = 1 << 20
	before      = 2 * time.Second // what befell endpoints and processes so long before a request may matter to it
	after       = time.Second     // and so long after its last line
	restart     = time.Minute     // a process that started again within this had ended before
	answered    = "answered"
	eventDone   = "request_done"
	eventBegun  = "attempt_begun"
	eventEnded  = "attempt_done"
	eventRetry  = "retry_decided"
	eventStages = "stages_estimated"
	eventCall   = "stage_call"
	eventStart  = "started"
)

// ErrNone says that no line speaks of the request.
var ErrNone = errors.New("no line speaks of this request")

// Line is one line of a log.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	About    string         `json:"about,omitempty"` // empty: the request; else what it depended on
	Fields   map[string]any `json:"fields"`
}

// Trace is what is known of a request.
type Trace struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"` // by time
	Cause   string `json:"cause"`
}

// Gather reads logs until all have ended. Lines that are no JSON are passed
// over. It returns ErrNone if nothing speaks of the request.
func Gather(id string, logs ...io.Reader) (*Trace, error) {
	t := &Trace{Request: id}
	var context []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, lineBytes)
		for s.Scan() {
			l, ok := parse(s.Bytes())
			if !ok {
				continue
			}
			if l.speaksOf(id) {
				t.Lines = append(t.Lines, l)
			} else if l.about() != "" {
				context = append(context, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	if len(t.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNone, id)
	}
	t.Lines = byTime(t.Lines)
	t.add(context)
	t.Cause = t.cause()
	return t, nil
}

func byTime(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

func parse(raw []byte) (Line, bool) {
	at := bytes.IndexByte(raw, '{') // others may have put something before it
	if at < 0 {
		return Line{}, false
	}
	var f map[string]any
	if json.Unmarshal(raw[at:], &f) != nil {
		return Line{}, false
	}
	l := Line{Fields: f}
	l.Event, _ = f["event"].(string)
	l.Instance, _ = f["instance"].(string)
	at2, _ := f["time"].(string)
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, at2); err != nil || l.Event == "" {
		return Line{}, false
	}
	for _, k := range []string{"event", "instance", "time", "program"} {
		delete(f, k)
	}
	return l, true
}

func (l *Line) speaksOf(id string) bool {
	if l.Fields["request"] == id {
		return true
	}
	list, _ := l.Fields["requests"].([]any)
	return slices.Contains(list, any(id))
}

// about returns the endpoint or process of which a line tells something that
// may matter to requests.
func (l *Line) about() string {
	switch {
	case strings.HasPrefix(l.Event, "endpoint_"):
		e, _ := l.Fields["endpoint"].(string)
		return e
	case l.Event == eventStart, l.Event == "stopping", l.Event == "stopped", l.Event == "store_lost", l.Event == "store_regained":
		return l.Instance
	}
	return ""
}

// add takes lines about what the request depended on.
func (t *Trace) add(context []Line) {
	used := make(map[string]bool)
	for _, l := range t.Lines {
		used[l.Instance] = true
		if e, ok := l.Fields["endpoint"].(string); ok {
			used[e] = true
		}
	}
	from, to := t.Lines[0].Time.Add(-before), t.Lines[len(t.Lines)-1].Time.Add(after)
	for _, l := range context {
		end := to
		if l.Event == eventStart && t.last(eventDone, nil) == nil {
			end = to.Add(restart)
		}
		if about := l.about(); used[about] && l.Time.After(from) && l.Time.Before(end) {
			l.About = about
			t.Lines = append(t.Lines, l)
		}
	}
	t.Lines = byTime(t.Lines)
}

// last returns the last line of the request that holds.
func (t *Trace) last(event string, holds func(l *Line) bool) *Line {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		l := &t.Lines[i]
		if l.About == "" && l.Event == event && (holds == nil || holds(l)) {
			return l
		}
	}
	return nil
}

func (t *Trace) cause() string {
	done := t.last(eventDone, nil)
	if done == nil {
		return t.unended()
	}
	outcome := text(done, "outcome")
	if outcome == answered {
		return t.answered(done)
	}
	parts := []string{fmt.Sprintf("status %s: %s", text(done, "status"), outcome)}
	if e := t.last(eventStages, func(l *Line) bool { return text(l, "admitted") == "false" }); e != nil {
		parts = append(parts, fmt.Sprintf("its stages needed %s ms (%s with nothing before them) and %s ms were left", text(e, "now_ms"), text(e, "idle_ms"), text(e, "slack_ms")))
	}
	if c := t.last(eventCall, func(l *Line) bool { return text(l, "error") != "" }); c != nil {
		parts = append(parts, fmt.Sprintf("a call of its stages at %s failed: %s", text(c, "endpoint"), text(c, "error")))
	}
	if a := t.last(eventEnded, func(l *Line) bool { return text(l, "end") != "done" }); a != nil {
		parts = append(parts, fmt.Sprintf("attempt %s at %s ended as %s: %s", text(a, "attempt"), text(a, "endpoint"), text(a, "end"), text(a, "reason")))
		parts = append(parts, t.fate(text(a, "endpoint"))...)
	}
	if r := t.last(eventRetry, nil); r != nil && text(r, "retry") == "false" {
		parts = append(parts, "not tried elsewhere: "+text(r, "reason"))
	}
	return strings.Join(parts, "; ")
}

// fate tells what was logged of an endpoint around the request.
func (t *Trace) fate(endpoint string) []string {
	var out []string
	for _, l := range t.Lines {
		if l.About == endpoint && l.Event != "endpoint_seen" && !slices.Contains(out, l.Event) {
			out = append(out, l.Event)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return []string{endpoint + " then: " + strings.Join(out, ", ")}
}

func (t *Trace) answered(done *Line) string {
	s := "status " + text(done, "status") + ": answered"
	if a := t.last(eventEnded, func(l *Line) bool { return text(l, "end") == "done" }); a != nil {
		s += " by " + text(a, "endpoint")
	}
	if a := t.last(eventEnded, func(l *Line) bool { return text(l, "end") != "done" }); a != nil {
		s += fmt.Sprintf(", after attempt %s at %s ended as %s: %s", text(a, "attempt"), text(a, "endpoint"), text(a, "end"), text(a, "reason"))
	}
	return s
}

// unended explains a request without a final line.
func (t *Trace) unended() string {
	last := t.Lines[0]
	for _, l := range t.Lines {
		if l.Fields["request"] == t.Request { // not of a relay that ran its stages only
			last = l
		}
	}
	for _, l := range t.Lines {
		if l.Event == eventStart && l.Instance == last.Instance && l.Time.After(last.Time) {
			return "no final answer: " + last.Instance + " ended without a word and started again"
		}
	}
	return "no final answer in these logs; the last line is of " + last.Instance
}

// text returns a field as text; empty if it has none.
func text(l *Line, key string) string {
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

// Write prints the trace, one line for each, the cause last.
func (t *Trace) Write(w io.Writer) error {
	for _, l := range t.Lines {
		mark := " "
		if l.About != "" {
			mark = "~"
		}
		row := fmt.Sprintf("%s %s %s %s", l.Time.Format("15:04:05.000"), mark, l.Instance, l.Event)
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := text(&l, k); v != "" && k != "level" && k != "request" && k != "requests" {
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
