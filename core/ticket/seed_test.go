package ticket_test

import "flag"

// The seed is fixed so that every run gives the same verdict. Flags on the
// command line go before it: -rapid.seed, -rapid.checks.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
