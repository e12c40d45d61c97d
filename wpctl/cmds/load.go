package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"wigeonplank.example/wpctl/load"
)

// loadCmd is the command load.
type loadCmd struct {
	*Globals `no-flag:"yes"`

	Rate     float64       `long:"rate" default:"10" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long requests are sent"`
	Mix      []string      `long:"mix" required:"yes" value-name:"PIPELINE:TEAM[:CLASS]=WEIGHT[,stream]" description:"kind of request and its weight; can be repeated"`
	Deadline time.Duration `long:"deadline" description:"deadline of each request; 0: the pipeline's own"`
	Tries    int           `long:"tries" default:"1" description:"maximum number of attempts for a refused request; each waits for the retry delay of the refusal before it"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the random arrival times and kinds of requests"`
	Args     struct {
		Targets []string `positional-arg-name:"IP:PORT" required:"1" description:"addresses of entries, used in turn"`
	} `positional-args:"yes" required:"yes"`
}

// loadResult is the result with --json.
type loadResult struct {
	Sent       int                 `json:"sent"`
	Attainment float64             `json:"attainment"`
	Lines      []load.KindStats    `json:"lines"`
	Refusals   []load.RefusalCount `json:"refusals"`
}

var errUnanswered = errors.New("some requests ended as broken, unknown or failed")

// Execute sends the load and prints the report. It returns an error if any
// request ended as broken, unknown or failed.
func (l *loadCmd) Execute([]string) error {
	mix, err := parseMix(l.Mix, l.Deadline)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rep, err := load.Run(ctx, &load.Plan{
		Targets:     l.Args.Targets,
		Rate:        l.Rate,
		Duration:    l.Duration,
		Mix:         mix,
		Seed:        l.Seed,
		MaxAttempts: l.Tries,
	})
	if err != nil {
		return err
	}
	out := loadResult{Sent: rep.Sent(), Attainment: rep.Attainment(), Lines: rep.ByKind(), Refusals: rep.Refusals()}
	if err := l.print(out, func(w io.Writer) { writeLoadTable(w, out) }); err != nil {
		return err
	}
	if rep.Count(load.EndBroken)+rep.Count(load.EndUnknown)+rep.Count(load.EndFailed) > 0 {
		return errUnanswered
	}
	return nil
}

// parseMix parses the values of --mix.
func parseMix(values []string, deadline time.Duration) ([]load.Kind, error) {
	out := make([]load.Kind, 0, len(values))
	for _, value := range values {
		key, rest, ok := strings.Cut(value, "=")
		names := strings.Split(key, ":")
		weightText, flag, _ := strings.Cut(rest, ",")
		weight, err := strconv.Atoi(weightText)
		if !ok || err != nil || weight < 1 || len(names) < 2 || len(names) > 3 || (flag != "" && flag != "stream") {
			return nil, fmt.Errorf("--mix %q: expected PIPELINE:TEAM[:CLASS]=WEIGHT[,stream]", value)
		}
		kind := load.Kind{Pipeline: names[0], Team: names[1], Weight: weight, Stream: flag != "", Deadline: deadline}
		if len(names) == 3 {
			kind.Class = names[2]
		}
		out = append(out, kind)
	}
	return out, nil
}

func writeLoadTable(w io.Writer, r loadResult) {
	fmt.Fprintln(w, "PIPELINE/CLASS\tSENT\tIN TIME\tP50\tP95\tP99\tFIRST TOKEN P95\tBETWEEN P95\tENDS")
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t%v\n", l.Key, l.Sent, 100*l.Attainment,
			l.Latency.P50, l.Latency.P95, l.Latency.P99, l.FirstToken.P95, l.BetweenTokens.P95, l.Ends)
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(w, "\nREFUSED TRIES\tCOUNT")
	}
	for _, t := range r.Refusals {
		fmt.Fprintf(w, "%s\t%d\n", t.Key, t.Count)
	}
}
