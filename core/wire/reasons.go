package wire

import "strings"

// Reasons of a Refused message, beside those of the gate and of the view.
const (
	ReasonIncarnation  = "incarnation"   // meant for another incarnation of the agent
	ReasonVoided       = "voided"        // the attempt was voided before
	ReasonExpired      = "expired"       // too old to be told apart; it may have run
	ReasonUnknownStage = "unknown_stage" // not in the agent's configuration
	ReasonNotSelected  = "not_selected"  // no selector admits this endpoint for the team
	ReasonNoModel      = "model_missing" // the engine has another model
	ReasonNoTicket     = "no_ticket"     // the stage isn't idempotent
	ReasonNotHeld      = "not_held"      // nothing is held of the attempt
)

const ticketPrefix = "ticket_"

// TicketReason returns the reason for a refusal because of a ticket's state.
func TicketReason(state string) string { return ticketPrefix + state }

// TicketState returns the ticket's state that a reason tells of.
func TicketState(reason string) (string, bool) { return strings.CutPrefix(reason, ticketPrefix) }
