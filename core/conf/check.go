package conf

import (
	"fmt"
	"reflect"
	"strings"
)

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// firstProblem checks what field tags can't say: unique names and references.
func firstProblem(d *Document) *InvalidError {
	checks := []func(*Document) *InvalidError{
		checkZones,
		checkTeams,
		checkClasses,
		checkPipelines,
	}
	for _, check := range checks {
		if p := check(d); p != nil {
			return p
		}
	}
	return nil
}

type nameSet map[string]int

func (s nameSet) add(list string, i int, name string) *InvalidError {
	if first, ok := s[name]; ok {
		return &InvalidError{
			Key:     fmt.Sprintf("%s[%d].name", list, i),
			Problem: fmt.Sprintf("%q is already the name of %s[%d]", name, list, first),
			Allowed: "each name once",
		}
	}
	s[name] = i
	return nil
}

func checkZones(d *Document) *InvalidError {
	seen := nameSet{}
	for i, z := range d.Zones {
		if p := seen.add("zones", i, z.Name); p != nil {
			return p
		}
	}
	return nil
}

func checkTeams(d *Document) *InvalidError {
	seen := nameSet{}
	for i, t := range d.Teams {
		if p := seen.add("teams", i, t.Name); p != nil {
			return p
		}
	}
	return nil
}

func checkClasses(d *Document) *InvalidError {
	seen := nameSet{}
	for i, c := range d.Classes {
		if p := seen.add("classes", i, c.Name); p != nil {
			return p
		}
	}
	return nil
}

func checkPipelines(d *Document) *InvalidError {
	teams := make(map[string]bool, len(d.Teams))
	for _, t := range d.Teams {
		teams[t.Name] = true
	}
	seen := nameSet{}
	for i := range d.Pipelines {
		p := &d.Pipelines[i]
		if e := seen.add("pipelines", i, p.Name); e != nil {
			return e
		}
		key := fmt.Sprintf("pipelines[%d]", i)
		if e := checkTeamRefs(key, p.Teams, teams); e != nil {
			return e
		}
		if e := checkStages(key, p, teams); e != nil {
			return e
		}
	}
	return nil
}

func checkStages(key string, p *Pipeline, teams map[string]bool) *InvalidError {
	seen := nameSet{}
	for i := range p.Stages {
		s := &p.Stages[i]
		if e := seen.add(key+".stages", i, s.Name); e != nil {
			return e
		}
		at := fmt.Sprintf("%s.stages[%d]", key, i)
		if e := checkKind(at, s); e != nil {
			return e
		}
		for j, sel := range s.Selectors {
			if e := checkTeamRefs(fmt.Sprintf("%s.selectors[%d]", at, j), sel.Teams, teams); e != nil {
				return e
			}
		}
	}
	return nil
}

func checkKind(key string, s *Stage) *InvalidError {
	switch {
	case s.Kind == KindGeneration && s.Model == nil:
		return &InvalidError{Key: key, Problem: "a generation stage needs a model", Allowed: "model with name and version"}
	case s.Kind != KindGeneration && s.Model != nil:
		return &InvalidError{Key: key + ".model", Problem: fmt.Sprintf("a stage of kind %s takes no model", s.Kind)}
	case s.Kind == KindService && !strings.HasPrefix(s.Path, "/"):
		return &InvalidError{Key: key, Problem: "a service stage needs a path", Allowed: "a path that starts with /"}
	case s.Kind != KindService && s.Path != "":
		return &InvalidError{Key: key + ".path", Problem: fmt.Sprintf("a stage of kind %s takes no path", s.Kind)}
	default:
		return nil
	}
}

func checkTeamRefs(key string, names []string, teams map[string]bool) *InvalidError {
	for i, n := range names {
		if !teams[n] {
			return &InvalidError{
				Key:     fmt.Sprintf("%s.teams[%d]", key, i),
				Problem: fmt.Sprintf("team %q is not declared", n),
				Allowed: "a name from teams",
			}
		}
	}
	return nil
}
