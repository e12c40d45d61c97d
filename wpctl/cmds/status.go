package cmds

import (
	"encoding/json"
	"fmt"
	"io"

	agentctrl "wigeonplank.example/agent/ctrl"
	"wigeonplank.example/core/route"
	"wigeonplank.example/entry/report"
)

type addrArgs struct {
	Addr string `positional-arg-name:"IP:PORT" description:"admin address of the process"`
}

// statusCmd is the command status.
type statusCmd struct {
	*Globals `no-flag:"yes"`

	Args addrArgs `positional-args:"yes" required:"yes"`
}

// Execute prints the status page of an entry or an agent. Only the page of an
// entry lists endpoints.
func (s *statusCmd) Execute([]string) error {
	var raw json.RawMessage
	if err := getJSON(s.Args.Addr, "/status", &raw); err != nil {
		return err
	}
	var probe struct {
		Endpoints *json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(raw, &probe); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	if probe.Endpoints == nil {
		return s.showAgent(raw)
	}
	var v report.Status
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	return s.print(v, func(w io.Writer) { writeEntryStatus(w, v) })
}

func (s *statusCmd) showAgent(raw []byte) error {
	var v agentctrl.Status
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	return s.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "agent\t%s in %s\n", v.Instance, v.Zone)
		fmt.Fprintf(w, "active revision\t%d\n", v.Revision)
		fmt.Fprintf(w, "accepts work\t%s\n", yesOrNo(v.ClosedReason))
		fmt.Fprintf(w, "slots\t%d of %d in use, %d queued, cold: %v\n", v.Busy, v.Limit, v.Queued, v.Cold)
		fmt.Fprintf(w, "model\t%s\n", v.Model)
		fmt.Fprintf(w, "placement waits for\t%s\n", v.PlacementWait)
		if v.Error != "" {
			fmt.Fprintf(w, "error\t%s\n", v.Error)
		}
	})
}

// yesOrNo returns "yes" if there is no reason against it, else "no" with the
// reason.
func yesOrNo(reason string) string {
	if reason == "" {
		return "yes"
	}
	return "no: " + reason
}

func writeEntryStatus(w io.Writer, v report.Status) {
	fmt.Fprintf(w, "entry\t%s in %s\n", v.Instance, v.Zone)
	fmt.Fprintf(w, "ready\t%v, view confirmed: %v\n", v.Ready, v.ViewConfirmed)
	fmt.Fprintf(w, "active revision\t%d\n", v.Revision)
	if v.Error != "" {
		fmt.Fprintf(w, "error\t%s\n", v.Error)
	}
	fmt.Fprintf(w, "requests in flight\t%d\n", v.Active)
	fmt.Fprintf(w, "retry budget balance\t%.1f\n", v.RetryBalance)
	fmt.Fprintln(w, "\nZONE\tSTATE")
	for _, z := range v.Zones {
		fmt.Fprintf(w, "%s\t%s\n", z.Name, z.State)
	}
	fmt.Fprintln(w, "\nENDPOINT\tZONE\tSTATE\tLINK\tBUSY\tLIMIT\tOURS\tCOLD\tMODEL\tOUT BECAUSE")
	for _, e := range v.Endpoints {
		reason := e.ClosedReason
		if reason == "" {
			reason = e.PlacementWait
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%v\t%s\t%s\n",
			e.Instance, e.Zone, e.State, e.Linked, e.Busy, e.Limit, e.Outstanding, e.Cold, e.Model, reason)
	}
	fmt.Fprintln(w, "\nTEAM\tREQUESTS\tANSWERED\tP50\tP95\tP99")
	for _, t := range v.Teams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", t.Team, t.Requests, t.InTime, t.P50, t.P95, t.P99)
	}
}

// explainCmd is the command explain.
type explainCmd struct {
	*Globals `no-flag:"yes"`

	Team string `long:"team" required:"yes" description:"team that calls the pipeline"`
	Args struct {
		Addr     string `positional-arg-name:"IP:PORT" description:"admin address of an entry"`
		Pipeline string `positional-arg-name:"PIPELINE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints why each endpoint may or may not serve each stage.
func (e *explainCmd) Execute([]string) error {
	var lines []route.Explanation
	if err := getJSON(e.Args.Addr, "/explain/"+e.Args.Pipeline+"?team="+e.Team, &lines); err != nil {
		return err
	}
	return e.print(lines, func(w io.Writer) {
		fmt.Fprintln(w, "STAGE\tENDPOINT\tZONE\tMAY\tWHY")
		for _, l := range lines {
			may := "no"
			if l.Usable {
				may = "yes"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.Stage, l.Instance, l.Zone, may, l.Reason)
		}
	})
}
