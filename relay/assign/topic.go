package assign

import "wigeonplank.example/relay/logs"

// Name returns the name under which relays share the speeds of engines.
func (a *Assigner) Name() string { return "speeds" }

// Changes returns what has changed since a version for other relays, and the current
// version.
func (a *Assigner) Changes(after int) ([][]byte, int) {
	timed := a.Timing.Timed()
	a.mu.Lock()
	for _, service := range timed {
		a.speeds.SetTimed(service)
	}
	records, version, err := a.speeds.Changes(after)
	a.mu.Unlock()
	if err != nil {
		a.Log.Failure(logs.KnowledgeRejected).Str("kind", a.Name()).Err(err).Msg("")
	}
	return records, version
}

// Merge adds what another relay knows.
func (a *Assigner) Merge(from string, records [][]byte) {
	a.mu.Lock()
	err := a.speeds.Merge(records)
	timed := a.speeds.Timed()
	a.mu.Unlock()
	for _, service := range timed {
		a.Timing.SetTimed(service)
	}
	if err != nil {
		a.Log.Failure(logs.KnowledgeRejected).Str("kind", a.Name()).Str("from", from).Err(err).Msg("")
	}
}
