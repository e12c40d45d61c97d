package cmds

import (
	"fmt"
	"io"
	"strings"
)

// sharesCmd is the command shares.
type sharesCmd struct {
	*Globals `no-flag:"yes"`

	Args addrArgs `positional-args:"yes" required:"yes"`
}

// poolStatus is a pool of a shared stage service as the admin address of a relay serves it.
type poolStatus struct {
	Service    string   `json:"service"`
	Zone       string   `json:"zone"`
	Owned      bool     `json:"owned"`
	Items      int      `json:"items"`
	DelayMs    float64  `json:"delay_ms"`
	DelayAgeMs float64  `json:"delay_age_ms"`
	OverShare  []string `json:"over_share"`
}

// Execute prints what one relay knows of the pools of shared stage services.
func (c *sharesCmd) Execute([]string) error {
	var list []poolStatus
	if err := getJSON(c.Args.Addr, "/shares", &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tZONE\tOWNED\tITEMS\tDELAY\tAGE\tOVER SHARE")
		for _, p := range list {
			zone, owned, delay, age, over := "all", "no", "-", "-", "-"
			if p.Zone != "" {
				zone = p.Zone
			}
			if p.Owned {
				owned = "yes"
			}
			if p.DelayMs > 0 {
				delay, age = fmt.Sprintf("%.0fms", p.DelayMs), fmt.Sprintf("%.0fms", p.DelayAgeMs)
			}
			if len(p.OverShare) > 0 {
				over = strings.Join(p.OverShare, " ")
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", p.Service, zone, owned, p.Items, delay, age, over)
		}
	})
}
