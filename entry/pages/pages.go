// Package pages defines what an entry shows operators.
package pages

import (
	"wigeonplank.example/core/meter"
	"wigeonplank.example/entry/ctrl"
)

// Status is the page /status.
type Status struct {
	ctrl.Status
	Ready        bool              `json:"ready"`
	Active       int64             `json:"active"`        // requests under way
	RetriesSaved float64           `json:"retries_saved"` // left in the retry budget
	Teams        []meter.TeamStats `json:"teams"`
	Costs        []meter.CostLine  `json:"costs"`
}
