package stage

import (
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
)

const (
	turnSlack = 50 * time.Millisecond // for the turn of a call and the ways to and from its endpoint
	muchRoom  = 0.05                  // share of an endpoint's room for results
)

// Job is the stages of one request.
type Job struct {
	ID       string // attempt of the caller
	Route    *fleet.Route
	Items    []int // by stage
	Key      string
	Zone     string    // where the results are wanted
	Due      time.Time // when the last stage should be done
	GiveUp   time.Time // stages that hold little are not started after this
	Deadline time.Time
}

// flow is a job under way. Its fields are guarded by the runner's mu.
type flow struct {
	job   Job
	refs  [][]string // by stage and item; empty: not there yet
	left  []int      // items of each stage without a result
	begun []bool
	freed []bool // the results of the stage were given up
	tries map[[2]int]int
	err   error
	done  chan struct{} // closed when all have results, or err is set
	over  bool
}

func newFlow(job Job) *flow {
	n := len(job.Route.Stages)
	f := &flow{
		job: job, refs: make([][]string, n), left: make([]int, n), begun: make([]bool, n), freed: make([]bool, n),
		tries: make(map[[2]int]int), done: make(chan struct{}),
	}
	for i := range n {
		if i < len(job.Items) {
			f.refs[i] = make([]string, job.Items[i])
			f.left[i] = job.Items[i]
		}
	}
	return f
}

// followers returns the stages that need the results of a stage.
func (f *flow) followers(stage int) []int {
	var out []int
	for i, s := range f.job.Route.Stages {
		for _, a := range s.After {
			if a == stage {
				out = append(out, i)
			}
		}
	}
	return out
}

// results returns the results of the stages that no other stage follows.
func (f *flow) results() []string {
	var out []string
	for i, refs := range f.refs {
		if len(f.followers(i)) == 0 {
			out = append(out, refs...)
		}
	}
	return out
}

// rest returns the results that were not given up yet, but for those in keep.
func (f *flow) rest(keep []string) []string {
	kept := make(map[string]bool, len(keep))
	for _, ref := range keep {
		kept[ref] = true
	}
	var out []string
	for i, refs := range f.refs {
		for _, ref := range refs {
			if ref != "" && !f.freed[i] && !kept[ref] {
				out = append(out, ref)
			}
		}
	}
	return out
}

// used marks the results that only a stage that is done now needed, and returns
// them.
func (f *flow) used(stage int) []string {
	var out []string
	for _, a := range f.job.Route.Stages[stage].After {
		left := 0
		for _, follower := range f.followers(a) {
			left += f.left[follower]
		}
		if left == 0 && !f.freed[a] {
			f.freed[a] = true
			out = append(out, f.refs[a]...)
		}
	}
	return out
}

func (f *flow) finish(err error) {
	if f.over {
		return
	}
	f.over, f.err = true, err
	close(f.done)
}

func (f *flow) ready(s fleet.Stage) bool {
	for _, a := range s.After {
		if f.left[a] > 0 {
			return false
		}
	}
	return true
}

// tail returns how long the stages after a stage take, at least.
func (f *flow) tail(cfg *fleet.Config, stage int) time.Duration {
	longest := time.Duration(0)
	for _, i := range f.followers(stage) {
		d := f.tail(cfg, i)
		if svc := cfg.Service(f.job.Route.Stages[i].Service); len(f.refs[i]) > 0 && svc != nil && svc.Batch != nil {
			d += batch.Wait(svc.Batch, batch.Load{}, len(f.refs[i])) + turnSlack
		}
		longest = max(longest, d)
	}
	return longest
}

// items returns the items of a stage that can start.
func (f *flow) items(cfg *fleet.Config, stage int, now time.Time, zoneOf func(ref string) string) []*batch.Item {
	s := f.job.Route.Stages[stage]
	var inputs []string
	for _, a := range s.After {
		inputs = append(inputs, f.refs[a]...)
	}
	due := f.job.Due.Add(-f.tail(cfg, stage))
	holds := f.holds(cfg, s)
	zone, cross := f.home(stage, inputs, zoneOf)
	out := make([]*batch.Item, 0, len(f.refs[stage]))
	for i := range f.refs[stage] {
		out = append(out, &batch.Item{
			Request: f.job.ID, Stage: stage, Index: i, Key: f.job.Key, Inputs: inputs, Chain: len(s.After) > 0,
			Bytes: s.ResultBytes, Holds: holds, Zone: zone, Cross: cross, Added: now, Due: due, GiveUp: f.job.GiveUp, Deadline: f.job.Deadline, Flow: f,
		})
	}
	return out
}

// home returns the zone in which the items of a stage should run, and how many
// bytes cross zones if they don't. Each item fetches all inputs, and each item of
// the stages that follow fetches all results: what weighs more decides. Results
// for other stages may lie in any zone, but together.
func (f *flow) home(stage int, inputs []string, zoneOf func(ref string) string) (string, int64) {
	s := f.job.Route.Stages[stage]
	n := int64(len(f.refs[stage]))
	readers := int64(0)
	followers := f.followers(stage)
	for _, i := range followers {
		readers += int64(len(f.refs[i]))
	}
	out := s.ResultBytes * n * max(1, readers)
	in := make(map[string]int64)
	for _, a := range s.After {
		for _, ref := range f.refs[a] {
			in[zoneOf(ref)] += f.job.Route.Stages[a].ResultBytes * n
		}
	}
	most := ""
	for z, bytes := range in {
		if bytes > in[most] || (bytes == in[most] && z < most) {
			most = z
		}
	}
	switch {
	case len(inputs) > 0 && in[most] > out:
		return most, in[most]
	case len(followers) > 0:
		return "", out
	}
	return f.job.Zone, out
}

// holds reports whether the inputs of a stage take up much of the room of the
// endpoints where they lie.
func (f *flow) holds(cfg *fleet.Config, s fleet.Stage) bool {
	for _, a := range s.After {
		before := f.job.Route.Stages[a]
		svc := cfg.Service(before.Service)
		if svc == nil || svc.Batch == nil {
			continue
		}
		if float64(before.ResultBytes)*float64(len(f.refs[a])) > muchRoom*float64(svc.Batch.MemoryBytes) {
			return true
		}
	}
	return false
}
