package stage

import (
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
)

const (
	callOverhead   = 50 * time.Millisecond // time of a call in addition to its work: the wait for its turn, and the network
	minMemoryShare = 0.05                  // share of an endpoint's memory for results above which the inputs of a stage count as large
)

// Job describes the stages of one request.
type Job struct {
	ID       string // ID of the caller's attempt
	Route    *fleet.Route
	Items    []int     // number of items by stage
	Key      string    // key of items without inputs
	Zone     string    // zone in which the final results are wanted
	Team     string    // empty: none
	Due      time.Time // when the last stage should be done
	StartBy  time.Time // latest time at which items may start, unless they free memory
	Deadline time.Time
}

// jobRun is the state of a job in flight. It is guarded by Runner.mu.
type jobRun struct {
	job       Job
	refs      [][]string     // references to results by stage and item; empty: no result yet
	remaining []int          // number of items without a result, by stage
	started   []bool         // by stage: its items were queued
	released  []bool         // by stage: its results were released
	attempts  map[[2]int]int // failed attempts by stage and item
	err       error
	done      chan struct{} // closed when all items have results or err is set
	finished  bool
}

func newJobRun(job Job) *jobRun {
	n := len(job.Route.Stages)
	j := &jobRun{
		job: job, refs: make([][]string, n), remaining: make([]int, n), started: make([]bool, n), released: make([]bool, n),
		attempts: make(map[[2]int]int), done: make(chan struct{}),
	}
	for i := range n {
		if i < len(job.Items) {
			j.refs[i] = make([]string, job.Items[i])
			j.remaining[i] = job.Items[i]
		}
	}
	return j
}

// dependents returns the stages that take the results of a stage as inputs.
func (j *jobRun) dependents(stage int) []int {
	var out []int
	for i, s := range j.job.Route.Stages {
		for _, a := range s.DependsOn {
			if a == stage {
				out = append(out, i)
			}
		}
	}
	return out
}

// finalResults returns the results of the stages without dependents. These are
// the inputs of the request itself.
func (j *jobRun) finalResults() []string {
	var out []string
	for i, refs := range j.refs {
		if len(j.dependents(i)) == 0 {
			out = append(out, refs...)
		}
	}
	return out
}

// unreleased returns the results that were not released yet, except those in
// keep.
func (j *jobRun) unreleased(keep []string) []string {
	kept := make(map[string]bool, len(keep))
	for _, ref := range keep {
		kept[ref] = true
	}
	var out []string
	for i, refs := range j.refs {
		for _, ref := range refs {
			if ref != "" && !j.released[i] && !kept[ref] {
				out = append(out, ref)
			}
		}
	}
	return out
}

// takeUnneeded returns the inputs of a completed stage that no other stage of
// the job still needs, and marks them as released.
func (j *jobRun) takeUnneeded(stage int) []string {
	var out []string
	for _, a := range j.job.Route.Stages[stage].DependsOn {
		remaining := 0
		for _, d := range j.dependents(a) {
			remaining += j.remaining[d]
		}
		if remaining == 0 && !j.released[a] {
			j.released[a] = true
			out = append(out, j.refs[a]...)
		}
	}
	return out
}

// finish ends the job, with err if it failed. Later calls have no effect.
func (j *jobRun) finish(err error) {
	if j.finished {
		return
	}
	j.finished, j.err = true, err
	close(j.done)
}

// hasInputs reports whether all results that a stage takes as inputs exist.
func (j *jobRun) hasInputs(s fleet.Stage) bool {
	for _, a := range s.DependsOn {
		if j.remaining[a] > 0 {
			return false
		}
	}
	return true
}

// minTimeAfter returns the minimum time that the stages after a stage take, that
// is, with nothing queued before them. idleLatency returns that of n items of a service.
func (j *jobRun) minTimeAfter(cfg *fleet.Config, stage int, idleLatency func(svc *fleet.Service, n int) time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, i := range j.dependents(stage) {
		d := j.minTimeAfter(cfg, i, idleLatency)
		if svc := cfg.Service(j.job.Route.Stages[i].Service); len(j.refs[i]) > 0 && svc != nil && svc.Batch != nil {
			d += idleLatency(svc, len(j.refs[i])) + callOverhead
		}
		longest = max(longest, d)
	}
	return longest
}

// newItems returns the items of a stage whose inputs exist. zoneOf returns the
// zone in which a result lies, and idleLatency the latency of n items of a service with
// nothing queued before them.
func (j *jobRun) newItems(
	cfg *fleet.Config, stage int, now time.Time, zoneOf func(ref string) string, idleLatency func(svc *fleet.Service, n int) time.Duration,
) []*batch.Item {
	s := j.job.Route.Stages[stage]
	var inputs []string
	for _, a := range s.DependsOn {
		inputs = append(inputs, j.refs[a]...)
	}
	due := j.job.Due.Add(-j.minTimeAfter(cfg, stage, idleLatency))
	freesMemory := j.freesMemory(cfg, s)
	zone, crossZoneBytes := j.preferredZone(stage, inputs, zoneOf)
	out := make([]*batch.Item, 0, len(j.refs[stage]))
	for i := range j.refs[stage] {
		out = append(out, &batch.Item{
			Request: j.job.ID, Stage: stage, Index: i, Key: j.job.Key, Inputs: inputs, Chain: len(s.DependsOn) > 0,
			ResultBytes: s.ResultBytes, FreesMemory: freesMemory, Zone: zone, CrossZoneBytes: crossZoneBytes, EnqueuedAt: now,
			Due: due, StartBy: j.job.StartBy, Deadline: j.job.Deadline, Team: j.job.Team,
			Data: j,
		})
	}
	return out
}

// preferredZone returns the zone in which the items of a stage should run, and
// the approximate number of bytes that cross zones if they run elsewhere. Each
// item fetches all inputs, and each item of a dependent stage fetches all
// results, so the larger of the two transfers decides. An empty zone stands for
// any zone, as long as it is the same for all items of the stage: dependent
// stages can then run where the results lie.
func (j *jobRun) preferredZone(stage int, inputs []string, zoneOf func(ref string) string) (string, int64) {
	s := j.job.Route.Stages[stage]
	n := int64(len(j.refs[stage]))
	readers := int64(0) // items that fetch the results
	dependents := j.dependents(stage)
	for _, i := range dependents {
		readers += int64(len(j.refs[i]))
	}
	outBytes := s.ResultBytes * n * max(1, readers)
	inBytes := make(map[string]int64) // by zone
	for _, a := range s.DependsOn {
		for _, ref := range j.refs[a] {
			inBytes[zoneOf(ref)] += j.job.Route.Stages[a].ResultBytes * n
		}
	}
	maxZone := "" // zone with the largest part of the inputs
	for z, bytes := range inBytes {
		if bytes > inBytes[maxZone] || (bytes == inBytes[maxZone] && z < maxZone) {
			maxZone = z
		}
	}
	switch {
	case len(inputs) > 0 && inBytes[maxZone] > outBytes:
		return maxZone, inBytes[maxZone]
	case len(dependents) > 0:
		return "", outBytes
	}
	return j.job.Zone, outBytes
}

// freesMemory reports whether running a stage lets inputs be released that take
// up more than minMemoryShare of an endpoint's memory for results.
func (j *jobRun) freesMemory(cfg *fleet.Config, s fleet.Stage) bool {
	for _, a := range s.DependsOn {
		source := j.job.Route.Stages[a]
		svc := cfg.Service(source.Service)
		if svc == nil || svc.Batch == nil || svc.Batch.MemoryBytes == 0 {
			continue
		}
		if float64(source.ResultBytes)*float64(len(j.refs[a])) > minMemoryShare*float64(svc.Batch.MemoryBytes) {
			return true
		}
	}
	return false
}
