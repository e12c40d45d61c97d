package cmds

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"time"
)

// suspectsCmd is the command suspects.
type suspectsCmd struct {
	*Globals `no-flag:"yes"`

	Args addrArgs `positional-args:"yes" required:"yes"`
}

// suspect is a subject as the admin address of a relay serves it.
type suspect struct {
	Subject     string    `json:"subject"`
	With        []string  `json:"with"`
	Quarantined bool      `json:"quarantined"`
	OnProbation bool      `json:"on_probation"`
	Endpoints   []string  `json:"endpoints"`
	Needed      int       `json:"needed"`
	FirstCrash  time.Time `json:"first_crash"`
	LastCrash   time.Time `json:"last_crash"`
	TrialAt     time.Time `json:"trial_at,omitzero"`
}

// Execute prints what requests have in common that ran at crashed endpoints, as one relay
// knows it.
func (c *suspectsCmd) Execute([]string) error {
	var list []suspect
	if err := getJSON(c.Args.Addr, "/suspects", &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "SUBJECT\tSTATE\tCRASHES\tFIRST\tLAST\tNEXT TRIAL\tENDPOINTS\tWITH")
		for _, s := range list {
			state, trial := fmt.Sprintf("suspect, quarantined at %d", s.Needed), "-"
			switch {
			case s.Quarantined:
				state, trial = "quarantined", s.TrialAt.Format(time.TimeOnly)
			case s.OnProbation:
				state, trial = "on probation", s.TrialAt.Format(time.TimeOnly)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", s.Subject, state, len(s.Endpoints),
				s.FirstCrash.Format(time.TimeOnly), s.LastCrash.Format(time.TimeOnly), trial, strings.Join(s.Endpoints, " "), cmp.Or(strings.Join(s.With, " "), "-"))
		}
	})
}
