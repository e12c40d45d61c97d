package conf

import (
	"fmt"
	"reflect"
	"strings"
)

// yamlName returns the YAML key of a struct field.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// validate returns the first violation of a rule that struct tags can't express
// (unique names, references between sections, fields that depend on the kind of
// a stage), or nil.
func validate(d *Document) *InvalidError {
	checks := []func(*Document) *InvalidError{
		checkZones,
		checkTeams,
		checkClasses,
		checkPipelines,
	}
	for _, check := range checks {
		if e := check(d); e != nil {
			return e
		}
	}
	return nil
}

// nameSet maps the names of a list to their first index.
type nameSet map[string]int

// add records the name of element i and returns an error if it is a duplicate.
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
		if e := seen.add("zones", i, z.Name); e != nil {
			return e
		}
	}
	return nil
}

func checkTeams(d *Document) *InvalidError {
	seen := nameSet{}
	for i, t := range d.Teams {
		if e := seen.add("teams", i, t.Name); e != nil {
			return e
		}
	}
	return nil
}

func checkClasses(d *Document) *InvalidError {
	seen := nameSet{}
	for i, c := range d.Classes {
		if e := seen.add("classes", i, c.Name); e != nil {
			return e
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
		stageKey := fmt.Sprintf("%s.stages[%d]", key, i)
		if e := checkKind(stageKey, s); e != nil {
			return e
		}
		for j, sel := range s.Selectors {
			if e := checkTeamRefs(fmt.Sprintf("%s.selectors[%d]", stageKey, j), sel.Teams, teams); e != nil {
				return e
			}
		}
	}
	return nil
}

// checkKind checks the fields that depend on the kind of the stage.
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

// checkTeamRefs checks that the document declares all named teams.
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
