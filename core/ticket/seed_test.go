package ticket_test

import "flag"

// The fixed seed makes runs reproducible. The flags -rapid.seed and
// -rapid.checks on the command line override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
