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

var columns = []string{
	"scenario", "variant", "repeat", "key", "sent", "attainment", "p50_ms", "p95_ms", "p99_ms", "first_p95_ms", "between_p95_ms",
	"useful_ms", "retried_ms", "late_ms", "cancelled_ms", "refused", "refused_after_ms", "overruns", "drain_s", "wrong",
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 1, 64)
}

// WriteCSV writes all rows.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	if err := out.Write(columns); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	for _, r := range rows {
		err := out.Write([]string{
			r.Scenario, r.Variant, strconv.Itoa(r.Repeat), r.Key, strconv.Itoa(r.Sent), strconv.FormatFloat(r.Attainment, 'f', 4, 64),
			millis(r.P50), millis(r.P95), millis(r.P99), millis(r.First), millis(r.Between),
			millis(r.Useful), millis(r.Retried), millis(r.Late), millis(r.Cancelled),
			strconv.Itoa(r.Refused), millis(r.RefusedAfter), strconv.Itoa(r.Overruns),
			strconv.FormatFloat(r.DrainSeconds, 'f', 2, 64), strconv.Itoa(r.Wrong),
		})
		if err != nil {
			return fmt.Errorf("write results: %w", err)
		}
	}
	out.Flush()
	return out.Error()
}

// Median returns the middle of a figure over the repeats of one scenario and
// variant, for the whole mix.
func Median(rows []Row, scenario, variant string, figure func(Row) float64) float64 {
	var v []float64
	for _, r := range rows {
		if r.Scenario == scenario && r.Variant == variant && r.Key == "all" {
			v = append(v, figure(r))
		}
	}
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// names returns the scenarios and variants of the rows in the order of their
// definition.
func names(rows []Row) (scenarios, variants []string) {
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

// WriteTable writes a page of medians.
func WriteTable(w io.Writer, rows []Row) error {
	scenarios, variants := names(rows)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(t, "| scenario\t| variant\t| attainment\t| p50 ms\t| p99 ms\t| useful s\t| retried s\t| late s\t| refused\t| after ms\t| overruns\t| drain s\t| wrong\t|")
	fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, s := range scenarios {
		for _, v := range variants {
			m := func(f func(Row) float64) float64 { return Median(rows, s, v, f) }
			fmt.Fprintf(t, "| %s\t| %s\t| %.1f%%\t| %.0f\t| %.0f\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %.0f\t| %.2f\t| %.0f\t|\n", s, v,
				100*m(func(r Row) float64 { return r.Attainment }),
				m(func(r Row) float64 { return ms(r.P50) }),
				m(func(r Row) float64 { return ms(r.P99) }),
				m(func(r Row) float64 { return r.Useful.Seconds() }),
				m(func(r Row) float64 { return r.Retried.Seconds() }),
				m(func(r Row) float64 { return r.Late.Seconds() }),
				m(func(r Row) float64 { return float64(r.Refused) }),
				m(func(r Row) float64 { return ms(r.RefusedAfter) }),
				m(func(r Row) float64 { return float64(r.Overruns) }),
				m(func(r Row) float64 { return r.DrainSeconds }),
				m(func(r Row) float64 { return float64(r.Wrong) }))
		}
	}
	return t.Flush()
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Best returns the baseline with the highest median attainment in a scenario.
func Best(rows []Row, scenario string) (variant string, attainment float64) {
	_, variants := names(rows)
	at := func(v string) float64 {
		return Median(rows, scenario, v, func(r Row) float64 { return r.Attainment })
	}
	variants = slices.DeleteFunc(variants, func(v string) bool { return v == Product })
	if len(variants) == 0 {
		return "", 0
	}
	best := slices.MaxFunc(variants, func(a, b string) int { return cmp.Compare(at(a), at(b)) })
	return best, at(best)
}

// Plot draws the attainment of all variants in all scenarios as an SVG in dir.
func Plot(dir string, rows []Row) error {
	scenarios, variants := names(rows)
	p := plot.New()
	p.Title.Text = "Answered whole and in time"
	p.Y.Label.Text = "% of requests, median of repeats"
	p.Y.Min, p.Y.Max = 0, 100
	width := vg.Points(60 / float64(len(variants)))
	for i, v := range variants {
		vals := make(plotter.Values, 0, len(scenarios))
		for _, s := range scenarios {
			vals = append(vals, 100*Median(rows, s, v, func(r Row) float64 { return r.Attainment }))
		}
		bars, err := plotter.NewBarChart(vals, width)
		if err != nil {
			return fmt.Errorf("draw %s: %w", v, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(variants)-1)/2)
		p.Add(bars)
		p.Legend.Add(v, bars)
	}
	p.NominalX(scenarios...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -0.9
	p.Legend.Top = true
	p.Legend.YOffs = vg.Points(40)
	p.Y.Max = 130 // room for the legend
	wide := vg.Points(90 * float64(max(len(scenarios), 5)))
	if err := p.Save(wide, vg.Points(360), filepath.Join(dir, "attainment.svg")); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
