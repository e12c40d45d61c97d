package admin

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes the metrics of a registry in the Prometheus text format,
// sorted by line. The name of a metric may include labels: name{key="value"}.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	lines := make([]string, 0, 64)
	r.Each(func(name string, m any) {
		lines = append(lines, formatMetric(name, m)...)
	})
	slices.Sort(lines)
	for _, l := range lines {
		// A write fails only if the reader has disconnected.
		_, _ = io.WriteString(w, l)
	}
}

func formatMetric(name string, m any) []string {
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

// WithLabel returns the name of a metric with a label added. It escapes the
// value.
func WithLabel(name, key, value string) string {
	value = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(value)
	pair := fmt.Sprintf("%s=\"%s\"", key, value)
	if labeled, ok := strings.CutSuffix(name, "}"); ok {
		return labeled + "," + pair + "}"
	}
	return name + "{" + pair + "}"
}
