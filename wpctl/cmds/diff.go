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

type diff struct {
	*Globals `no-flag:"yes"`

	List string `long:"list" value-name:"FILE" description:"instance list (JSON), to say which endpoints gain or lose what"`
	Args struct {
		Old string `positional-arg-name:"OLD"`
		New string `positional-arg-name:"NEW"`
	} `positional-args:"yes" required:"yes"`
}

// change is one difference.
type change struct {
	Kind   string `json:"kind"` // revision, zone, pipeline, team or endpoint
	Name   string `json:"name"`
	Change string `json:"change"`
}

// Execute compares the documents.
func (d *diff) Execute([]string) error {
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
	return d.show(out, func(w io.Writer) {
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
		return roster.List{}, fmt.Errorf("read list: %w", err)
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
		out[0].Change += ": NOT ABOVE, no process will accept it"
	}
	out = append(out, compareNamed("zone", a.Zones, b.Zones, func(z conf.Zone) (string, string) { return z.Name, string(z.State) })...)
	out = append(out, compareNamed("team", a.Teams, b.Teams, func(t conf.Team) (string, string) { return t.Name, fmt.Sprintf("weight %d", t.Weight) })...)
	return append(out, compareNamed("pipeline", a.Pipelines, b.Pipelines, func(p conf.Pipeline) (string, string) {
		return p.Name, describePipeline(p)
	})...)
}

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

// compareNamed compares two lists of named things by a description.
func compareNamed[T any](kind string, a, b []T, describe func(T) (name, text string)) []change {
	before := make(map[string]string, len(a))
	for _, v := range a {
		name, text := describe(v)
		before[name] = text
	}
	var out []change
	for _, v := range b {
		name, text := describe(v)
		old, had := before[name]
		delete(before, name)
		switch {
		case !had:
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

func compareEndpoints(a, b *conf.Document, l roster.List) []change {
	var out []change
	for _, i := range l.Instances {
		before, after := carried(a, i), carried(b, i)
		for _, s := range slices.Sorted(maps.Keys(after)) {
			if !before[s] {
				out = append(out, change{"endpoint", i.ID, "gains " + s})
			}
		}
		for _, s := range slices.Sorted(maps.Keys(before)) {
			if !after[s] {
				out = append(out, change{"endpoint", i.ID, "loses " + s})
			}
		}
	}
	return out
}

// carried returns the stages that an instance may carry for some team.
func carried(d *conf.Document, i roster.Instance) map[string]bool {
	out := make(map[string]bool)
	if i.State != roster.StateLive || d.ZoneState(i.Zone) != conf.ZoneServing {
		return out
	}
	for _, p := range d.Pipelines {
		for _, s := range p.Stages {
			if s.Selects(i.Labels) {
				out[p.Name+"/"+s.Name] = true
			}
		}
	}
	return out
}
