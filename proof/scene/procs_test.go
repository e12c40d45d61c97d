package scene_test

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/proof/fleet"
)

// exitTimeout is how long "ended" waits for a process to exit.
const exitTimeout = 30 * time.Second

// killProcesses implements "crash NAME...": kill processes with SIGKILL. NAME
// is an entry or the instance whose agent is meant.
func killProcesses(inv *invocation) error {
	for _, name := range inv.args {
		if err := inv.scene.fleet.Kill(name); err != nil {
			return err
		}
	}
	return nil
}

// signalProcesses implements "freeze NAME...", "thaw NAME..." and
// "term NAME...": send SIGSTOP, SIGCONT or SIGTERM to processes.
func signalProcesses(name string) command {
	sig := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}[name]
	return func(inv *invocation) error {
		for _, n := range inv.args {
			p := inv.scene.fleet.Proc(n)
			if p == nil {
				return fmt.Errorf("no process %q", n)
			}
			if err := p.Signal(sig); err != nil {
				return err
			}
		}
		return nil
	}
}

// awaitExit implements "ended NAME...": wait until the processes have exited
// with status 0.
func awaitExit(inv *invocation) error {
	for _, n := range inv.args {
		if err := inv.scene.fleet.Proc(n).Wait(exitTimeout); err != nil {
			return err
		}
	}
	return nil
}

// restartProcesses implements "restart NAME...": start processes again that
// have exited.
func restartProcesses(inv *invocation) error {
	for _, n := range inv.args {
		if err := inv.scene.fleet.Restart(n); err != nil {
			return err
		}
	}
	return nil
}

// publishDocument implements "publish zone ZONE STATE": publish the next
// revision of the document with the zone's state changed; and
// "publish file FILE [BYTES]": publish the bytes of FILE without validation, with a
// comment that brings them to the size.
func publishDocument(inv *invocation) error {
	f := inv.scene.fleet
	if inv.arg(0) == "zone" {
		return f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(inv.arg(1), conf.ZoneState(inv.arg(2))))
	}
	raw, err := readScriptFile(inv, inv.arg(1))
	if err != nil {
		return err
	}
	if len(inv.args) > 2 {
		size, err := strconv.Atoi(inv.arg(2))
		if err != nil {
			return fmt.Errorf("size of the document: %w", err)
		}
		raw = append(raw, "# "+strings.Repeat("x", size-len(raw)-3)+"\n"...)
	}
	return f.PublishRaw(raw)
}

// publishList implements "list INSTANCE live|leaving|absent|ROLE": publish the
// instance list with the instance's state changed, with the instance removed
// from this publication, or with its role label set to ROLE.
func publishList(inv *invocation) error {
	f := inv.scene.fleet
	e := f.Endpoint(inv.arg(0))
	if e == nil {
		return fmt.Errorf("no endpoint %q", inv.arg(0))
	}
	switch change := inv.arg(1); change {
	case "absent":
		all := f.Instances()
		out := all[:0]
		for _, i := range all {
			if i.ID != e.Instance.ID {
				out = append(out, i)
			}
		}
		return f.PublishList(out)
	case string(roster.StateLive), string(roster.StateLeaving):
		e.Instance.State = roster.State(change)
	default:
		e.Instance.Labels = map[string]string{"service": e.Instance.Labels["service"], "role": change, "engine": e.Instance.Labels["engine"]}
	}
	return f.PublishList(f.Instances())
}

// awaitCondition implements "await": wait until a condition is true. It is one of
//
//	ready                        every running entry is ready and has links to all endpoints, which all accept work
//	revision N NAME...           the processes have revision N active
//	closed INSTANCE REASON       the agent accepts no work, for REASON
//	open INSTANCE                the agent accepts work and has no model order pending
//	model INSTANCE MODEL         the endpoint serves MODEL
//	linked ENTRY INSTANCE yes|no the entry has a link to the agent, or has none
//	error ENTRY                  the entry has rejected a document
//	fresh ENTRY                  the entry's view is confirmed since its start or last pause
//	out ENTRY INSTANCE           the entry sees the instance as leaving, or no longer lists it
func awaitCondition(inv *invocation) error {
	f := inv.scene.fleet
	if inv.arg(0) == "ready" {
		return f.Await("fleet to be ready", func() bool { return f.AwaitReady(inv.ctx()) == nil })
	}
	return f.Await(fmt.Sprint(inv.args), func() bool { return inv.isTrue() })
}

// isTrue reports whether the condition of an "await" is true now. The script
// fails if the condition is unknown.
func (inv *invocation) isTrue() bool {
	switch inv.arg(0) {
	case "revision":
		for _, n := range inv.args[2:] {
			if fmt.Sprint(inv.revision(n)) != inv.arg(1) {
				return false
			}
		}
		return true
	case "closed":
		s, err := inv.scene.fleet.AgentStatus(inv.scene.fleet.Endpoint(inv.arg(1)))
		return err == nil && s.ClosedReason == inv.arg(2)
	case "open":
		s, err := inv.scene.fleet.AgentStatus(inv.scene.fleet.Endpoint(inv.arg(1)))
		return err == nil && s.ClosedReason == "" && s.PlacementWait == ""
	case "model":
		s, err := inv.scene.fleet.AgentStatus(inv.scene.fleet.Endpoint(inv.arg(1)))
		return err == nil && s.Model == inv.arg(2)
	case "linked":
		return inv.isLinked(inv.arg(1), inv.arg(2)) == (inv.arg(3) == "yes")
	case "error":
		s, err := inv.scene.fleet.EntryStatus(inv.entry(inv.arg(1)))
		return err == nil && s.Error != ""
	case "fresh":
		s, err := inv.scene.fleet.EntryStatus(inv.entry(inv.arg(1)))
		return err == nil && s.ViewConfirmed
	case "out":
		return inv.isOut(inv.arg(1), inv.arg(2))
	}
	inv.ts.Fatalf("await: unknown condition %q", inv.arg(0))
	return false
}

// entry returns the entry of that name. The script fails if there is none.
func (inv *invocation) entry(name string) *fleet.Entry {
	for _, e := range inv.scene.fleet.Entries {
		if e.Name == name {
			return e
		}
	}
	inv.ts.Fatalf("no entry %q", name)
	return nil
}

// revision returns the active revision of an entry or an instance's agent, or 0
// if its status can't be read.
func (inv *invocation) revision(name string) uint64 {
	f := inv.scene.fleet
	if e := f.Endpoint(name); e != nil {
		s, err := f.AgentStatus(e)
		if err != nil {
			return 0
		}
		return s.Revision
	}
	s, err := f.EntryStatus(inv.entry(name))
	if err != nil {
		return 0
	}
	return s.Revision
}

// isLinked reports whether an entry has a link to an instance's agent.
func (inv *invocation) isLinked(entry, instance string) bool {
	s, err := inv.scene.fleet.EntryStatus(inv.entry(entry))
	if err != nil {
		return false
	}
	for _, ep := range s.Endpoints {
		if ep.Instance == instance {
			return ep.Linked
		}
	}
	return false
}

// isOut reports whether an entry sees an instance as leaving or doesn't know it.
func (inv *invocation) isOut(entry, instance string) bool {
	s, err := inv.scene.fleet.EntryStatus(inv.entry(entry))
	if err != nil {
		return false
	}
	for _, ep := range s.Endpoints {
		if ep.Instance == instance {
			return ep.State == roster.StateLeaving
		}
	}
	return true
}
