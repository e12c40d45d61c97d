package chaos

import (
	_ "embed"
	"fmt"

	"wigeonplank.example/base/sets"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/proof/fleet"
)

//go:embed fleet.yaml
var fleetYAML []byte

//go:embed config.yaml
var configYAML []byte

// Plan returns the small deployment against which Run injects faults.
func Plan() (fleet.Plan, error) {
	var p fleet.Plan
	if err := conf.DecodeStrict(fleetYAML, &p); err != nil {
		return p, &sets.FileError{File: "chaos/fleet.yaml", Err: err}
	}
	if _, err := conf.Parse(configYAML); err != nil {
		return p, fmt.Errorf("chaos/config.yaml: %w", err)
	}
	p.Document = configYAML
	return p, nil
}
