package wire

import "strings"

// Reasons of a Refused message, in addition to those of the gate and of the
// agent's view.
const (
	ReasonIncarnation  = "incarnation"   // the dispatch is for another incarnation of the agent
	ReasonVoided       = "voided"        // the attempt was already voided
	ReasonExpired      = "expired"       // the attempt is too old for the agent's records; it may have run
	ReasonUnknownStage = "unknown_stage" // the agent's configuration has no such stage
	ReasonNotSelected  = "not_selected"  // no selector of the stage matches this endpoint for the team
	ReasonModelMissing = "model_missing" // the engine doesn't have the stage's model loaded
	ReasonNoTicket     = "no_ticket"     // the stage isn't idempotent and the dispatch has no ticket
	ReasonNotRetained  = "not_held"      // no output of the attempt is retained
)

const ticketPrefix = "ticket_"

// TicketReason returns the reason of a refusal because of a ticket's state.
func TicketReason(state string) string { return ticketPrefix + state }

// TicketState returns the state in a reason made by TicketReason.
func TicketState(reason string) (string, bool) { return strings.CutPrefix(reason, ticketPrefix) }
