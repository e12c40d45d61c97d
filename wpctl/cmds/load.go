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

type loadCmd struct {
	*Globals `no-flag:"yes"`

	Rate     float64       `long:"rate" default:"10" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long requests are sent"`
	Mix      []string      `long:"mix" required:"yes" value-name:"PIPELINE:TEAM[:CLASS]=WEIGHT[,stream]" description:"a kind of request and its share; may be given often"`
	Deadline time.Duration `long:"deadline" description:"deadline of each request; 0: the pipeline's own"`
	Tries    int           `long:"tries" default:"1" description:"how often a refused request is sent, each time when it was told to come back"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Args     struct {
		Targets []string `positional-arg-name:"IP:PORT" required:"1" description:"entries, taken in turn"`
	} `positional-args:"yes" required:"yes"`
}

// loadResult is the result for scripts.
type loadResult struct {
	Sent       int          `json:"sent"`
	Attainment float64      `json:"attainment"`
	Lines      []load.Line  `json:"lines"`
	Refusals   []load.Tally `json:"refusals"`
}

var errNotAnswered = errors.New("some requests ended broken, unknown or failed")

// Execute sends the load. It returns an error if a request's end isn't an
// answer or a true refusal.
func (l *loadCmd) Execute([]string) error {
	mix, err := parseMix(l.Mix, l.Deadline)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rep, err := load.Run(ctx, &load.Plan{
		Targets:  l.Args.Targets,
		Rate:     l.Rate,
		Duration: l.Duration,
		Mix:      mix,
		Seed:     l.Seed,
		Tries:    l.Tries,
	})
	if err != nil {
		return err
	}
	out := loadResult{Sent: rep.Sent(), Attainment: rep.Attainment(), Lines: rep.Lines(), Refusals: rep.Refusals()}
	if err := l.show(out, func(w io.Writer) { writeLoad(w, out) }); err != nil {
		return err
	}
	if rep.Count(load.FinalBroken)+rep.Count(load.FinalUnknown)+rep.Count(load.FinalFailed) > 0 {
		return errNotAnswered
	}
	return nil
}

func parseMix(list []string, deadline time.Duration) ([]load.Share, error) {
	out := make([]load.Share, 0, len(list))
	for _, text := range list {
		kind, rest, ok := strings.Cut(text, "=")
		names := strings.Split(kind, ":")
		weight, flag, _ := strings.Cut(rest, ",")
		n, err := strconv.Atoi(weight)
		if !ok || err != nil || n < 1 || len(names) < 2 || len(names) > 3 || (flag != "" && flag != "stream") {
			return nil, fmt.Errorf("--mix %q: expected PIPELINE:TEAM[:CLASS]=WEIGHT[,stream]", text)
		}
		s := load.Share{Pipeline: names[0], Team: names[1], Weight: n, Stream: flag != "", Deadline: deadline}
		if len(names) == 3 {
			s.Class = names[2]
		}
		out = append(out, s)
	}
	return out, nil
}

func writeLoad(w io.Writer, r loadResult) {
	fmt.Fprintln(w, "PIPELINE/CLASS\tSENT\tIN TIME\tP50\tP95\tP99\tFIRST TOKEN P95\tBETWEEN P95\tENDS")
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t%v\n", l.Key, l.Sent, 100*l.Attainment,
			l.Latency.P50, l.Latency.P95, l.Latency.P99, l.First.P95, l.Between.P95, l.Ends)
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(w, "\nREFUSED TRIES\tCOUNT")
	}
	for _, t := range r.Refusals {
		fmt.Fprintf(w, "%s\t%d\n", t.Key, t.Count)
	}
}
