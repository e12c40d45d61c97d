package conf

import "fmt"

// Verdict says what became of an offered document.
type Verdict string

// Verdicts on an offered document.
const (
	VerdictAccepted Verdict = "accepted" // it is in force now
	VerdictSame     Verdict = "same"     // it was in force already
	VerdictOld      Verdict = "old"      // a newer revision is in force
	VerdictInvalid  Verdict = "invalid"  // it failed validation
	VerdictConflict Verdict = "conflict" // same revision, other content; the lower digest stays in force
)

// Accepted is a document in force together with the bytes it was read from.
type Accepted struct {
	Doc    *Document
	Raw    []byte
	Digest uint64
}

// Revision returns the revision in force, or 0 for a nil receiver.
func (a *Accepted) Revision() uint64 {
	if a == nil {
		return 0
	}
	return a.Doc.Revision
}

// Keeper holds the configuration in force. Its revision only rises. The zero
// value has none in force. It is not safe for concurrent use.
type Keeper struct {
	cur *Accepted
	err error
}

// Current returns what is in force, or nil. The result is immutable.
func (k *Keeper) Current() *Accepted { return k.cur }

// LastError returns why the newest offer that was refused as invalid or in
// conflict was refused; nil if a later one was accepted.
func (k *Keeper) LastError() error { return k.err }

// Offer considers a published document. On VerdictInvalid and VerdictConflict
// LastError says why, and what was in force stays so unless the conflict rule
// prefers the offer.
func (k *Keeper) Offer(raw []byte) Verdict {
	digest := Digest(raw)
	if k.cur != nil && k.cur.Digest == digest {
		return VerdictSame
	}
	doc, err := Parse(raw)
	if err != nil {
		k.err = fmt.Errorf("offered document refused: %w", err)
		return VerdictInvalid
	}
	next := &Accepted{Doc: doc, Raw: raw, Digest: digest}
	switch {
	case doc.Revision > k.cur.Revision():
		k.cur = next
		k.err = nil
		return VerdictAccepted
	case doc.Revision < k.cur.Revision():
		return VerdictOld
	}
	k.err = &ConflictError{Revision: doc.Revision, Digests: [2]uint64{k.cur.Digest, digest}}
	if digest < k.cur.Digest {
		k.cur = next
	}
	return VerdictConflict
}

// Newer returns the document in force if it goes before one with that revision
// and digest by the rules of Offer, or nil.
func (k *Keeper) Newer(revision, digest uint64) []byte { return k.cur.Newer(revision, digest) }

// Newer returns the document if it goes before one with that revision and
// digest by the rules of Keeper.Offer, or nil. The receiver may be nil.
func (a *Accepted) Newer(revision, digest uint64) []byte {
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

// ConflictError says that two different documents carry one revision.
type ConflictError struct {
	Revision uint64
	Digests  [2]uint64
}

// Error names the revision and both digests.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was published with two contents, digests %016x and %016x", e.Revision, e.Digests[0], e.Digests[1])
}
