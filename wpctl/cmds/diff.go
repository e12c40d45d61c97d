package cmds

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
)

// diffCmd is the command diff.
type diffCmd struct {
	*Globals `no-flag:"yes"`

	List string `long:"list" value-name:"FILE" description:"instance list (JSON), to show which endpoints gain or lose which stages"`
	Args struct {
		Old string `positional-arg-name:"OLD"`
		New string `positional-arg-name:"NEW"`
	} `positional-args:"yes" required:"yes"`
}

// change is one difference between two documents.
type change struct {
	Kind   string `json:"kind"` // revision, zone, pipeline, team or endpoint
	Name   string `json:"name"`
	Change string `json:"change"`
}

// Execute compares the documents.
func (d *diffCmd) Execute([]string) error {
	before, err := readDocument(d.Args.Old)
	if err != nil {
		return err
	}
	after, err := readDocument(d.Args.New)
	if err != nil {
		return err
	}
	out := compareDocuments(before, after)
	if d.List != "" {
		l, err := readList(d.List)
		if err != nil {
			return err
		}
		out = append(out, compareEndpoints(before, after, l)...)
	}
	return d.print(out, func(w io.Writer) {
		fmt.Fprintln(w, "WHAT\tNAME\tCHANGE")
		for _, c := range out {
			fmt.Fprintf(w, "%s\t%s\t%s\n", c.Kind, c.Name, c.Change)
		}
	})
}

func readDocument(file string) (*conf.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	d, err := conf.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return d, nil
}

func readList(file string) (roster.List, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return roster.List{}, fmt.Errorf("read instance list: %w", err)
	}
	l, err := roster.Parse(raw)
	if err != nil {
		return roster.List{}, fmt.Errorf("%s: %w", file, err)
	}
	return l, nil
}

func compareDocuments(a, b *conf.Document) []change {
	out := []change{{"revision", "", fmt.Sprintf("%d to %d", a.Revision, b.Revision)}}
	if b.Revision <= a.Revision {
		out[0].Change += ": NOT ABOVE the old revision; no process will accept it"
	}
	out = append(out, compareNamed("zone", a.Zones, b.Zones, func(z conf.Zone) (string, string) { return z.Name, string(z.State) })...)
	out = append(out, compareNamed("team", a.Teams, b.Teams, func(t conf.Team) (string, string) { return t.Name, fmt.Sprintf("weight %d", t.Weight) })...)
	return append(out, compareNamed("pipeline", a.Pipelines, b.Pipelines, func(p conf.Pipeline) (string, string) {
		return p.Name, describePipeline(p)
	})...)
}

// describePipeline returns the parts of a pipeline that diff compares.
func describePipeline(p conf.Pipeline) string {
	s := p.Deadline.String()
	for _, st := range p.Stages {
		s += " " + st.Name
		if st.Model != nil {
			s += "(" + st.Model.String() + ")"
		}
	}
	return s
}

// compareNamed compares the elements of two lists by name. Elements of the same
// name differ if describe returns another text for them.
func compareNamed[T any](kind string, a, b []T, describe func(T) (name, text string)) []change {
	before := make(map[string]string, len(a))
	for _, v := range a {
		name, text := describe(v)
		before[name] = text
	}
	var out []change
	for _, v := range b {
		name, text := describe(v)
		old, exists := before[name]
		delete(before, name)
		switch {
		case !exists:
			out = append(out, change{kind, name, "new: " + text})
		case old != text:
			out = append(out, change{kind, name, old + " to " + text})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		out = append(out, change{kind, name, "gone"})
	}
	return out
}

// compareEndpoints returns the stages that endpoints of the instance list gain or
// lose.
func compareEndpoints(a, b *conf.Document, l roster.List) []change {
	var out []change
	for _, inst := range l.Instances {
		before, after := selectedStages(a, inst), selectedStages(b, inst)
		for _, s := range slices.Sorted(maps.Keys(after)) {
			if !before[s] {
				out = append(out, change{"endpoint", inst.ID, "gains " + s})
			}
		}
		for _, s := range slices.Sorted(maps.Keys(before)) {
			if !after[s] {
				out = append(out, change{"endpoint", inst.ID, "loses " + s})
			}
		}
	}
	return out
}

// selectedStages returns the stages, as pipeline/stage, that an instance may
// serve for at least one team.
func selectedStages(d *conf.Document, inst roster.Instance) map[string]bool {
	out := make(map[string]bool)
	if inst.State != roster.StateLive || d.ZoneState(inst.Zone) != conf.ZoneServing {
		return out
	}
	for _, p := range d.Pipelines {
		for _, s := range p.Stages {
			if s.Selects(inst.Labels) {
				out[p.Name+"/"+s.Name] = true
			}
		}
	}
	return out
}
