package conf

import "fmt"

// Verdict is the result of offering a document to a Tracker.
type Verdict string

// Verdicts on an offered document.
const (
	VerdictAccepted Verdict = "accepted" // it is now the current document
	VerdictSame     Verdict = "same"     // it already was the current document
	VerdictOld      Verdict = "old"      // the current document has a higher revision
	VerdictInvalid  Verdict = "invalid"  // it failed validation
	VerdictConflict Verdict = "conflict" // same revision, different content; the lower digest becomes current
)

// Accepted is an accepted document together with its encoded form.
type Accepted struct {
	Doc    *Document
	Raw    []byte // as published
	Digest uint64 // of Raw
}

// Revision returns the document's revision, or 0 for a nil receiver.
func (a *Accepted) Revision() uint64 {
	if a == nil {
		return 0
	}
	return a.Doc.Revision
}

// Tracker tracks the current configuration. Its revision never decreases. The
// zero value has no configuration. It is not safe for concurrent use.
type Tracker struct {
	current *Accepted
	lastErr error
}

// Current returns the current document, or nil. The result is immutable.
func (t *Tracker) Current() *Accepted { return t.current }

// LastError returns the error of the most recent offer that was invalid or in
// conflict, or nil if a document has been accepted since.
func (t *Tracker) LastError() error { return t.lastErr }

// Offer makes a published document current if it is valid and its revision is
// higher than that of the current one. Two documents with the same revision are
// in conflict; the one with the lower digest becomes current, so that all
// processes settle on the same document. After VerdictInvalid and
// VerdictConflict, LastError returns the reason.
func (t *Tracker) Offer(raw []byte) Verdict {
	digest := Digest(raw)
	if t.current != nil && t.current.Digest == digest {
		return VerdictSame
	}
	doc, err := Parse(raw)
	if err != nil {
		t.lastErr = fmt.Errorf("offered document refused: %w", err)
		return VerdictInvalid
	}
	next := &Accepted{Doc: doc, Raw: raw, Digest: digest}
	switch {
	case doc.Revision > t.current.Revision():
		t.current = next
		t.lastErr = nil
		return VerdictAccepted
	case doc.Revision < t.current.Revision():
		return VerdictOld
	}
	t.lastErr = &ConflictError{Revision: doc.Revision, Digests: [2]uint64{t.current.Digest, digest}}
	if digest < t.current.Digest {
		t.current = next
	}
	return VerdictConflict
}

// NewerThan returns the current document, as published, if Offer would prefer it
// to one with the given revision and digest; otherwise nil.
func (t *Tracker) NewerThan(revision, digest uint64) []byte {
	return t.current.NewerThan(revision, digest)
}

// NewerThan returns the document, as published, if Tracker.Offer would prefer it
// to one with the given revision and digest; otherwise nil. The receiver may be
// nil.
func (a *Accepted) NewerThan(revision, digest uint64) []byte {
	switch {
	case a == nil || a.Digest == digest:
		return nil
	case a.Revision() > revision:
		return a.Raw
	case a.Revision() == revision && a.Digest < digest:
		return a.Raw
	default:
		return nil
	}
}

// ConflictError reports that two different documents have the same revision.
type ConflictError struct {
	Revision uint64
	Digests  [2]uint64 // of the current and of the offered document
}

// Error returns the revision and both digests.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was published with two contents, digests %016x and %016x", e.Revision, e.Digests[0], e.Digests[1])
}
