package cmds

import (
	"fmt"
	"io"
)

// endpointsCmd is the command endpoints.
type endpointsCmd struct {
	*Globals `no-flag:"yes"`

	Args addrArgs `positional-args:"yes" required:"yes"`
}

// endpointStatus is an endpoint as the admin address of a relay serves it.
type endpointStatus struct {
	Endpoint  string  `json:"endpoint"`
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	ByTime    bool    `json:"by_time"`
	Speed     float64 `json:"speed"`
	Samples   int     `json:"samples"`
	Pace      float64 `json:"pace"`
	PaceAgeMs float64 `json:"pace_age_ms"`
	Trust     float64 `json:"trust"`
	Load      float64 `json:"load"`
}

// Execute prints what one relay knows of the speed and the load of endpoints.
func (c *endpointsCmd) Execute([]string) error {
	var list []endpointStatus
	if err := getJSON(c.Args.Addr, "/endpoints", &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "ENDPOINT\tSERVICE\tZONE\tCHOSEN BY\tSPEED\tSAMPLES\tPACE\tAGE\tTRUST\tLOAD")
		for _, e := range list {
			chosenBy, speed, pace, age := "load", "-", "-", "-"
			if e.ByTime {
				chosenBy = "time"
			}
			if e.Samples > 0 {
				speed = fmt.Sprintf("%.2f", e.Speed)
			}
			if e.Pace > 0 {
				pace, age = fmt.Sprintf("%.2f", e.Pace), fmt.Sprintf("%.1fs", e.PaceAgeMs/1000)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%.2f\t%.2f\n",
				e.Endpoint, e.Service, e.Zone, chosenBy, speed, e.Samples, pace, age, e.Trust, e.Load)
		}
	})
}
