package stage_test

import "flag"

// init fixes the seed and the number of checks of the property tests, so that
// every run draws the same cases. The flags -rapid.seed and -rapid.checks
// override both.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
