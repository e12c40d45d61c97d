package scene_test

import (
	"fmt"
	"syscall"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/proof/fleet"
)

const endLimit = 30 * time.Second

// crash NAME...: end processes at once.
func crash(l *line) error {
	for _, name := range l.words {
		if err := l.s.fleet.Kill(name); err != nil {
			return err
		}
	}
	return nil
}

// freeze, thaw and term NAME...: send a signal.
func signal(name string) command {
	sig := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}[name]
	return func(l *line) error {
		for _, n := range l.words {
			p := l.s.fleet.Proc(n)
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

// ended NAME...: the processes end by themselves, in order.
func awaitEnd(l *line) error {
	for _, n := range l.words {
		if err := l.s.fleet.Proc(n).Wait(endLimit); err != nil {
			return err
		}
	}
	return nil
}

// restart NAME...: start processes again.
func restart(l *line) error {
	for _, n := range l.words {
		if err := l.s.fleet.Restart(n); err != nil {
			return err
		}
	}
	return nil
}

// publish zone ZONE STATE | publish file FILE: without validation.
func publish(l *line) error {
	f := l.s.fleet
	if l.word(0) == "zone" {
		return f.Publish(f.Doc.WithRevision(f.Doc.Revision+1).WithZoneState(l.word(1), conf.ZoneState(l.word(2))))
	}
	raw, err := scriptFile(l, l.word(1))
	if err != nil {
		return err
	}
	return f.PublishRaw(raw)
}

// list INSTANCE live|leaving|absent|role:VALUE: publish a changed list.
func publishList(l *line) error {
	f := l.s.fleet
	e := f.Endpoint(l.word(0))
	if e == nil {
		return fmt.Errorf("no endpoint %q", l.word(0))
	}
	switch what := l.word(1); what {
	case "absent":
		in := f.Instances()
		out := in[:0]
		for _, i := range in {
			if i.ID != e.Instance.ID {
				out = append(out, i)
			}
		}
		return f.PublishList(out)
	case string(roster.StateLive), string(roster.StateLeaving):
		e.Instance.State = roster.State(what)
	default:
		e.Instance.Labels = map[string]string{"service": e.Instance.Labels["service"], "role": what, "engine": e.Instance.Labels["engine"]}
	}
	return f.PublishList(f.Instances())
}

// await ready | revision N NAME... | closed INSTANCE REASON | linked ENTRY
// INSTANCE yes|no | model INSTANCE MODEL | error ENTRY.
func await(l *line) error {
	f := l.s.fleet
	if l.word(0) == "ready" {
		return f.Await("fleet to be ready", func() bool { return f.AwaitReady(l.ctx()) == nil })
	}
	return f.Await(fmt.Sprint(l.words), func() bool { return l.holds() })
}

func (l *line) holds() bool {
	switch l.word(0) {
	case "revision":
		for _, n := range l.words[2:] {
			if fmt.Sprint(l.revision(n)) != l.word(1) {
				return false
			}
		}
		return true
	case "closed":
		s, err := l.s.fleet.AgentStatus(l.s.fleet.Endpoint(l.word(1)))
		return err == nil && s.Closed == l.word(2)
	case "open":
		s, err := l.s.fleet.AgentStatus(l.s.fleet.Endpoint(l.word(1)))
		return err == nil && s.Closed == "" && s.Waits == ""
	case "model":
		s, err := l.s.fleet.AgentStatus(l.s.fleet.Endpoint(l.word(1)))
		return err == nil && s.Model == l.word(2)
	case "linked":
		return l.linked(l.word(1), l.word(2)) == (l.word(3) == "yes")
	case "error":
		s, err := l.s.fleet.EntryStatus(l.entry(l.word(1)))
		return err == nil && s.Error != ""
	case "fresh":
		s, err := l.s.fleet.EntryStatus(l.entry(l.word(1)))
		return err == nil && s.Fresh
	case "out":
		return l.out(l.word(1), l.word(2))
	}
	l.ts.Fatalf("await: unknown word %q", l.word(0))
	return false
}

func (l *line) entry(name string) *fleet.Entry {
	for _, e := range l.s.fleet.Entries {
		if e.Name == name {
			return e
		}
	}
	l.ts.Fatalf("no entry %q", name)
	return nil
}

// revision returns what a process has in force.
func (l *line) revision(name string) uint64 {
	f := l.s.fleet
	if e := f.Endpoint(name); e != nil {
		s, err := f.AgentStatus(e)
		if err != nil {
			return 0
		}
		return s.Revision
	}
	s, err := f.EntryStatus(l.entry(name))
	if err != nil {
		return 0
	}
	return s.Revision
}

func (l *line) linked(entry, instance string) bool {
	s, err := l.s.fleet.EntryStatus(l.entry(entry))
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

// out reports whether an entry sees an instance as leaving.
func (l *line) out(entry, instance string) bool {
	s, err := l.s.fleet.EntryStatus(l.entry(entry))
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
