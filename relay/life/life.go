// Package life tells which incarnations of endpoints have ended or may have, and shares
// what is certain with the other relays.
package life

import (
	"sync"
	"sync/atomic"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/lives"
	"wigeonplank.example/relay/logs"
)

// announceDelay is the time for which ends are collected before other relays are told.
const announceDelay = 30 * time.Millisecond

// Ledger holds the signs of the ends of incarnations. Set the exported fields before use.
// It is safe for concurrent use.
type Ledger struct {
	Announce func() // sends a heartbeat, with what has changed, on all links now
	Clock    clock.Clock
	Log      *logs.Logger

	marks atomic.Int64 // length of table

	mu         sync.Mutex
	table      lives.Table
	announcing bool // other relays are told after announceDelay
}

// Ended records that nothing listens at the address of an endpoint, or another endpoint
// does: its incarnation has ended.
func (l *Ledger) Ended(e *fleet.Endpoint) {
	l.mu.Lock()
	isNew, err := l.table.Doubt(l.Clock.Now(), lives.Of(e), true)
	l.marks.Store(int64(l.table.Len()))
	l.announceSoon()
	l.mu.Unlock()
	if err != nil {
		l.Log.Failure(logs.KnowledgeRejected).Str("kind", l.Name()).Err(err).Msg("")
	}
	if isNew {
		l.Log.Event(logs.EndpointDoubted).Str("endpoint", e.ID).Str("service", e.Service).Bool("certain", true).Msg("")
	}
}

// announceSoon tells the other relays after announceDelay what has changed. The caller
// holds l.mu.
func (l *Ledger) announceSoon() {
	if l.announcing {
		return
	}
	l.announcing = true
	time.AfterFunc(announceDelay, func() {
		l.mu.Lock()
		l.announcing = false
		l.mu.Unlock()
		l.Announce()
	})
}

// Lived records that the incarnation of an endpoint lived at a time.
func (l *Ledger) Lived(e *fleet.Endpoint, at time.Time) {
	if l.marks.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Lived(at, lives.Of(e))
}

// Doubted reports whether the incarnation of an endpoint has ended or may have.
func (l *Ledger) Doubted(e *fleet.Endpoint) bool {
	if l.marks.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Doubted(lives.Of(e))
}

// Prune drops what is known of incarnations that v doesn't list.
func (l *Ledger) Prune(v *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Prune(l.Clock.Now(), func(in lives.Incarnation) bool {
		e := v.Endpoint(in.ID)
		return e != nil && lives.Of(e) == in
	})
	l.marks.Store(int64(l.table.Len()))
}

// Name returns the name under which relays share the ends of incarnations.
func (l *Ledger) Name() string { return "ends" }

// Changes returns what has changed since a version for other relays, and the current
// version.
func (l *Ledger) Changes(after int) ([][]byte, int) {
	l.mu.Lock()
	records, version, err := l.table.Changes(l.Clock.Now(), after)
	l.mu.Unlock()
	if err != nil {
		l.Log.Failure(logs.KnowledgeRejected).Str("kind", l.Name()).Err(err).Msg("")
	}
	return records, version
}

// Merge adds what another relay knows.
func (l *Ledger) Merge(from string, records [][]byte) {
	l.mu.Lock()
	added, err := l.table.Merge(l.Clock.Now(), records)
	l.marks.Store(int64(l.table.Len()))
	if len(added) > 0 {
		l.announceSoon() // not all relays are linked
	}
	l.mu.Unlock()
	for _, in := range added {
		l.Log.Event(logs.EndpointDoubted).Str("endpoint", in.ID).Str("from", from).Bool("certain", true).Msg("")
	}
	if err != nil {
		l.Log.Failure(logs.KnowledgeRejected).Str("kind", l.Name()).Str("from", from).Err(err).Msg("")
	}
}
