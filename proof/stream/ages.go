package stream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxAgeMillis = 600_000
	maxLineBytes = 1 << 20
	maxTraced    = 30 // wrong streams whose lines are added
)

// Ages is how old things were, from the relays' logs.
type Ages struct {
	View  *hdrhistogram.Histogram            // age of the view at which streams began, in ms; nil: not logged
	Find  map[string]*hdrhistogram.Histogram // time that finding a record took, by result, in ms; nil: not logged
	Acked *hdrhistogram.Histogram            // time from the first event until its record was acknowledged, in ms; nil: not logged
}

// logLine has the fields of log lines that matter here.
type logLine struct {
	Event     string   `json:"event"`
	Request   string   `json:"request"`
	Stream    string   `json:"stream"`
	Status    int      `json:"status"`
	Outcome   string   `json:"outcome"`
	EventID   *int     `json:"event_id"`
	ViewAgeMs *float64 `json:"view_age_ms"`
	Result    string   `json:"result"`
	TookMs    float64  `json:"took_ms"`
	AckedMs   *float64 `json:"acked_ms"`
}

// readLogs reads the relays' logs, calls each for their lines and adds what they tell of
// wrong streams to the descriptions.
func (r *run) readLogs(wrong map[*Stream]string, each func(logLine)) (Ages, error) {
	var ages Ages
	byID := make(map[string]*Stream) // of the wrong streams, by the IDs of their tries
	traced := 0
	for s := range wrong {
		if traced++; traced > maxTraced {
			break
		}
		for _, t := range s.Tries {
			byID[t.ID] = s
		}
	}
	lines := make(map[*Stream][]string)
	for _, relay := range r.dep.Relays {
		f, err := os.Open(relay.LogFile)
		if err != nil {
			return ages, fmt.Errorf("open log of %s: %w", relay.Name, err)
		}
		sc := bufio.NewScanner(f)
		sc.Buffer(nil, maxLineBytes)
		for sc.Scan() {
			var l logLine
			if json.Unmarshal(sc.Bytes(), &l) != nil {
				continue // cut off when the relay was killed
			}
			ages.add(l)
			each(l)
			for _, id := range []string{l.Request, l.Stream} {
				if s := byID[id]; s != nil {
					lines[s] = append(lines[s], relay.Name+" "+sc.Text())
					break
				}
			}
		}
		err = sc.Err()
		_ = f.Close() // only read from
		if err != nil {
			return ages, fmt.Errorf("read log of %s: %w", relay.Name, err)
		}
	}
	for s, list := range lines {
		slices.SortFunc(list, func(a, b string) int {
			_, a, _ = strings.Cut(a, " ")
			_, b, _ = strings.Cut(b, " ")
			return strings.Compare(a, b)
		})
		wrong[s] += "\n      " + strings.Join(list, "\n      ")
	}
	return ages, nil
}

func (a *Ages) add(l logLine) {
	switch {
	case l.Event == "attempt_begun" && l.ViewAgeMs != nil && l.EventID != nil && *l.EventID < 0:
		record(&a.View, *l.ViewAgeMs)
	case l.Event == "origin_sought":
		if a.Find == nil {
			a.Find = make(map[string]*hdrhistogram.Histogram)
		}
		h := a.Find[l.Result]
		record(&h, l.TookMs)
		a.Find[l.Result] = h
	}
	if l.AckedMs != nil {
		record(&a.Acked, *l.AckedMs)
	}
}

func record(h **hdrhistogram.Histogram, ms float64) {
	if *h == nil {
		*h = hdrhistogram.New(1, maxAgeMillis, 3)
	}
	_ = (*h).RecordValue(min(maxAgeMillis, max(0, int64(ms)))) // in its range
}

// String returns the p50, the p99 and the worst of each.
func (a *Ages) String() string {
	s := "  age of the view at which streams began: " + quantiles(a.View)
	if a.Find == nil {
		s += "\n  time to find a record (150 ms at most): not logged"
	}
	for _, result := range slices.Sorted(maps.Keys(a.Find)) {
		s += fmt.Sprintf("\n  time to find a record (150 ms at most), %s: %s", result, quantiles(a.Find[result]))
	}
	return s + "\n  from the first event to its acknowledged record: " + quantiles(a.Acked)
}

func quantiles(h *hdrhistogram.Histogram) string {
	if h == nil {
		return "not logged"
	}
	return fmt.Sprintf("p50 %d ms, p99 %d ms, worst %d ms of %d", h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), h.TotalCount())
}
