package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
)

// maxFall is the fall of a day's worth that counts as noise: processor time is
// measured.
const maxFall = 0.03

// Regress implements the regress command, which plays a fixed set of days with the
// users' bench and compares them with the figures in a file.
type Regress struct {
	Bench string `long:"bench" required:"yes" description:"path of the users' bench"`
	Sites string `long:"sites" required:"yes" description:"directory that holds the site files; the set names them relative to it"`
	Set   string `long:"set" default:"deploy/regress.yaml" description:"file that lists the days and their figures"`
	Only  string `long:"only" default:"." description:"regular expression; plays the days whose site and name match"`
}

// regressDay is a day of the set.
type regressDay struct {
	Site  string  `yaml:"site"`            // path of the site file
	Day   string  `yaml:"day"`             // name of the day, or path of a day file
	Seed  string  `yaml:"seed,omitempty"`  // of a hunted day; empty: the day as it stands
	Worth float64 `yaml:"worth,omitempty"` // figure to hold; 0: only the rules count
	Note  string  `yaml:"note,omitempty"`  // why the day is in the set
}

func (d *regressDay) name() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", strings.TrimSuffix(filepath.Base(d.Site), ".toml"), d.Day, d.Seed))
}

// Execute plays the days one after the other. It returns an error if one of them
// breaks a rule, fails or falls by more than maxFall.
func (r *Regress) Execute([]string) error {
	raw, err := os.ReadFile(r.Set)
	if err != nil {
		return fmt.Errorf("read the set of days: %w", err)
	}
	var days []regressDay
	if err := yaml.Unmarshal(raw, &days); err != nil {
		return fmt.Errorf("decode the set of days: %w", err)
	}
	only, err := regexp.Compile(r.Only)
	if err != nil {
		return fmt.Errorf("--only: %w", err)
	}
	var failures []error
	for _, d := range days {
		if !only.MatchString(d.name()) {
			continue
		}
		if err := r.play(d); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", d.name(), err))
		}
	}
	return errors.Join(failures...)
}

// play plays one day and prints its figures.
func (r *Regress) play(d regressDay) error {
	args := []string{"run", filepath.Join(r.Sites, d.Site), d.Day, "--why", "regression set"}
	if d.Seed != "" {
		args = append(args, "--seed", d.Seed)
	}
	out, err := exec.CommandContext(context.Background(), r.Bench, args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("play: %w", err)
	}
	res, err := parseDay(string(out))
	if err != nil {
		return err
	}
	fmt.Printf("%-60s worth %.3f (%.3f), served %.3f %s\n", d.name(), res.worth, d.Worth, res.served, res.broken)
	switch {
	case res.broken != "":
		return fmt.Errorf("broke rules: %s", res.broken)
	case d.Worth > 0 && res.worth < d.Worth-maxFall:
		return fmt.Errorf("worth fell from %.3f to %.3f", d.Worth, res.worth)
	}
	return nil
}

// dayResult is what the bench reports of a day.
type dayResult struct {
	worth, served float64
	broken        string // rules that were broken; empty: none
}

// dayRow matches the row of a day in the bench's report: name, instances, score,
// worth and served.
var dayRow = regexp.MustCompile(`(?m)^\S.* +\d+/\d+ +(?:[\d.]+|-) +(-?[\d.]+) +([\d.]+) +[\d.]+ +[\d.]+ .*$`)

// brokenRules matches the rules that a day broke, at the end of its row.
var brokenRules = regexp.MustCompile(`BROKEN: ([^(]*)`)

// parseDay finds the figures of a day in the bench's report.
func parseDay(report string) (dayResult, error) {
	m := dayRow.FindStringSubmatch(report)
	if m == nil {
		return dayResult{}, errors.New("the report has no row of a day")
	}
	worth, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return dayResult{}, fmt.Errorf("worth: %w", err)
	}
	served, err := strconv.ParseFloat(m[2], 64)
	if err != nil {
		return dayResult{}, fmt.Errorf("served: %w", err)
	}
	res := dayResult{worth: worth, served: served}
	if b := brokenRules.FindStringSubmatch(m[0]); b != nil {
		res.broken = strings.TrimSpace(b[1])
	}
	return res, nil
}
