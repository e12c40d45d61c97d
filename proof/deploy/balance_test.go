package deploy_test

import (
	"os"
	"slices"
	"testing"

	"github.com/goccy/go-yaml"

	"wigeonplank.example/proof/deploy"
)

// TestBalancer checks the choices of a Balancer among relays a, b and c.
func TestBalancer(t *testing.T) {
	raw, err := os.ReadFile("testdata/balancer.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name  string
		Steps []struct {
			Ready    []string
			NotReady []string `yaml:"not_ready"`
			Want     []string // the relays of as many connections, in any order
		}
	}
	if err := yaml.UnmarshalWithOptions(raw, &cases, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	if len(cases) == 0 {
		t.Fatal("no cases")
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var b deploy.Balancer
			for i, step := range c.Steps {
				for _, name := range step.Ready {
					b.Record(name, true)
				}
				for _, name := range step.NotReady {
					b.Record(name, false)
				}
				var got []string
				for range step.Want {
					got = append(got, b.Choose([]string{"a", "b", "c"}))
				}
				distinct := slices.Compact(slices.Sorted(slices.Values(got)))
				want := slices.Compact(slices.Sorted(slices.Values(step.Want)))
				if !slices.Equal(distinct, want) {
					t.Errorf("step %d: got %v, want %v", i, got, step.Want)
				}
			}
		})
	}
}
