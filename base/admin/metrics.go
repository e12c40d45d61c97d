package admin

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes a registry in the text form that common scrapers read. A
// metric's name may carry labels: name{key="value"}.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	lines := make([]string, 0, 64)
	r.Each(func(name string, m any) {
		lines = append(lines, format(name, m)...)
	})
	slices.Sort(lines)
	for _, l := range lines {
		// The reader went away if this fails; nothing is left to do.
		_, _ = io.WriteString(w, l)
	}
}

func format(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d\n", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d\n", name, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g\n", name, m.Value())}
	case metrics.Histogram:
		return formatHistogram(name, m.Snapshot())
	default:
		return nil
	}
}

func formatHistogram(name string, h metrics.Histogram) []string {
	var out []string
	for i, v := range h.Percentiles(quantiles) {
		out = append(out, fmt.Sprintf("%s %g\n", WithLabel(name, "quantile", fmt.Sprint(quantiles[i])), v))
	}
	base, labels, _ := strings.Cut(name, "{")
	if labels != "" {
		labels = "{" + labels
	}
	return append(out, fmt.Sprintf("%s_count%s %d\n", base, labels, h.Count()))
}

// WithLabel adds a label to a metric's name.
func WithLabel(name, key, value string) string {
	value = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(value)
	pair := fmt.Sprintf("%s=\"%s\"", key, value)
	if base, ok := strings.CutSuffix(name, "}"); ok {
		return base + "," + pair + "}"
	}
	return name + "{" + pair + "}"
}
