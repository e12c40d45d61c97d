package bench

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// columns is the header line of the CSV file, in the order of the fields that
// WriteCSV writes.
var columns = []string{
	"scenario", "variant", "repeat", "key", "sent", "attainment", "p50_ms", "p95_ms", "p99_ms", "first_p95_ms", "between_p95_ms",
	"useful_ms", "retried_ms", "late_ms", "cancelled_ms", "refused", "refused_after_ms", "overruns", "drain_s", "wrong",
}

// formatMillis formats a duration as milliseconds with one decimal place.
func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 1, 64)
}

// WriteCSV writes the rows as CSV with a header line.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	if err := out.Write(columns); err != nil {
		return fmt.Errorf("write CSV results: %w", err)
	}
	for _, r := range rows {
		err := out.Write([]string{
			r.Scenario, r.Variant, strconv.Itoa(r.Repeat), r.Key, strconv.Itoa(r.Sent), strconv.FormatFloat(r.Attainment, 'f', 4, 64),
			formatMillis(r.P50), formatMillis(r.P95), formatMillis(r.P99), formatMillis(r.FirstTokenP95), formatMillis(r.BetweenTokensP95),
			formatMillis(r.Useful), formatMillis(r.Retried), formatMillis(r.Late), formatMillis(r.Cancelled),
			strconv.Itoa(r.Refusals), formatMillis(r.MeanRefusalLatency), strconv.Itoa(r.Overruns),
			strconv.FormatFloat(r.DrainSeconds, 'f', 2, 64), strconv.Itoa(r.Violations),
		})
		if err != nil {
			return fmt.Errorf("write CSV results: %w", err)
		}
	}
	out.Flush()
	return out.Error()
}

// Median returns the median of a value over the repeats of one scenario and
// variant, taken from the rows for the whole mix. For an even number of repeats
// it is the larger of the two middle values. It returns 0 if there are no rows.
func Median(rows []Row, scenario, variant string, value func(Row) float64) float64 {
	var values []float64
	for _, r := range rows {
		if r.Scenario == scenario && r.Variant == variant && r.Key == "all" {
			values = append(values, value(r))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// namesIn returns the names of the scenarios and variants that have rows, in the
// order of Scenarios and Variants.
func namesIn(rows []Row) (scenarios, variants []string) {
	for _, s := range Scenarios {
		if slices.ContainsFunc(rows, func(r Row) bool { return r.Scenario == s.Name }) {
			scenarios = append(scenarios, s.Name)
		}
	}
	for _, v := range Variants {
		if slices.ContainsFunc(rows, func(r Row) bool { return r.Variant == v.Name }) {
			variants = append(variants, v.Name)
		}
	}
	return scenarios, variants
}

// WriteTable writes the medians over the repeats as a Markdown table.
func WriteTable(w io.Writer, rows []Row) error {
	scenarios, variants := namesIn(rows)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(t, "| scenario\t| variant\t| attainment\t| p50 ms\t| p99 ms\t| useful s\t| retried s\t| late s\t| refused\t| after ms\t| overruns\t| drain s\t| wrong\t|")
	fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, s := range scenarios {
		for _, v := range variants {
			m := func(f func(Row) float64) float64 { return Median(rows, s, v, f) }
			fmt.Fprintf(t, "| %s\t| %s\t| %.1f%%\t| %.0f\t| %.0f\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %.0f\t| %.2f\t| %.0f\t|\n", s, v,
				100*m(func(r Row) float64 { return r.Attainment }),
				m(func(r Row) float64 { return toMillis(r.P50) }),
				m(func(r Row) float64 { return toMillis(r.P99) }),
				m(func(r Row) float64 { return r.Useful.Seconds() }),
				m(func(r Row) float64 { return r.Retried.Seconds() }),
				m(func(r Row) float64 { return r.Late.Seconds() }),
				m(func(r Row) float64 { return float64(r.Refusals) }),
				m(func(r Row) float64 { return toMillis(r.MeanRefusalLatency) }),
				m(func(r Row) float64 { return float64(r.Overruns) }),
				m(func(r Row) float64 { return r.DrainSeconds }),
				m(func(r Row) float64 { return float64(r.Violations) }))
		}
	}
	return t.Flush()
}

func toMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// BestBaseline returns the baseline with the highest median attainment in a
// scenario, or an empty name if the rows contain no baseline.
func BestBaseline(rows []Row, scenario string) (variant string, attainment float64) {
	_, variants := namesIn(rows)
	attainmentOf := func(v string) float64 {
		return Median(rows, scenario, v, func(r Row) float64 { return r.Attainment })
	}
	variants = slices.DeleteFunc(variants, func(v string) bool { return v == ProductVariant })
	if len(variants) == 0 {
		return "", 0
	}
	best := slices.MaxFunc(variants, func(a, b string) int { return cmp.Compare(attainmentOf(a), attainmentOf(b)) })
	return best, attainmentOf(best)
}

// WritePlot draws the median attainment of all variants in all scenarios as a bar
// chart and writes it to the file attainment.svg in dir.
func WritePlot(dir string, rows []Row) error {
	scenarios, variants := namesIn(rows)
	p := plot.New()
	p.Title.Text = "Requests answered completely and in time"
	p.Y.Label.Text = "% of requests, median over the repeats"
	p.Y.Min, p.Y.Max = 0, 100
	barWidth := vg.Points(60 / float64(len(variants)))
	for i, v := range variants {
		vals := make(plotter.Values, 0, len(scenarios))
		for _, s := range scenarios {
			vals = append(vals, 100*Median(rows, s, v, func(r Row) float64 { return r.Attainment }))
		}
		bars, err := plotter.NewBarChart(vals, barWidth)
		if err != nil {
			return fmt.Errorf("draw bars of variant %s: %w", v, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(variants)-1)/2)
		p.Add(bars)
		p.Legend.Add(v, bars)
	}
	p.NominalX(scenarios...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -0.9
	p.Legend.Top = true
	p.Legend.YOffs = vg.Points(40)
	p.Y.Max = 130 // leaves space for the legend above the bars
	plotWidth := vg.Points(90 * float64(max(len(scenarios), 5)))
	if err := p.Save(plotWidth, vg.Points(360), filepath.Join(dir, "attainment.svg")); err != nil {
		return fmt.Errorf("write attainment plot: %w", err)
	}
	return nil
}
