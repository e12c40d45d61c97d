package cmds

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// TestParseDay checks that the figures of a day and its broken rules are found in
// reports of the users' bench.
func TestParseDay(t *testing.T) {
	const head = "built in 2.5 s; 29657 lines in 189 files\nday                  own/srv  score  worth served refused failed  weakest part\n"
	tests := []struct {
		report string
		want   dayResult
	}{
		{head + "quiet-1                66/90   0.96  0.765  0.944   0.001  0.007  worst class 0.58; prices 0.050\n", dayResult{worth: 0.765, served: 0.944}},
		{
			head + "trouble-1 --seed 5   146/177   0.00  0.642  0.863   0.016  0.022  worst windows 0.36  BROKEN: CONFIG 1, GONE 1 (else 0.65)\n",
			dayResult{worth: 0.642, served: 0.863, broken: "CONFIG 1, GONE 1"},
		},
		{head + "scale-2                22/36   0.02 -0.051  0.400   0.200  0.100  nines 0.1\n", dayResult{worth: -0.051, served: 0.4}},
	}
	for _, test := range tests {
		got, err := parseDay(test.report)
		if err != nil || got != test.want {
			t.Errorf("%q: got %+v, %v, want %+v", test.report, got, err, test.want)
		}
	}
	if _, err := parseDay(head); err == nil {
		t.Error("a report without a day is accepted")
	}
}

// TestRegressSet checks that the committed set of days can be read and names each
// day once.
func TestRegressSet(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/regress.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var days []regressDay
	if err := yaml.Unmarshal(raw, &days); err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, d := range days {
		if d.Site == "" || d.Day == "" || seen[d.name()] {
			t.Errorf("day %+v is incomplete or stands twice", d)
		}
		seen[d.name()] = true
	}
	if len(days) == 0 {
		t.Error("the set is empty")
	}
}
