// Package report defines the status report that an entry serves to operators.
package report

import (
	"wigeonplank.example/core/meter"
	"wigeonplank.example/entry/ctrl"
)

// Status is the response to GET /status.
type Status struct {
	ctrl.Status
	Ready        bool              `json:"ready"`
	Active       int64             `json:"active"`        // requests in flight; a streamed one counts twice
	RetryBalance float64           `json:"retries_saved"` // balance of the retry budget
	Teams        []meter.TeamStats `json:"teams"`
	Costs        []meter.CostLine  `json:"costs"`
}
