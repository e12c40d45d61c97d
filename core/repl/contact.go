package repl

import "time"

const (
	// startPatience is how long a process that has just started waits for another
	// one's replica before it reads the store.
	startPatience = 500 * time.Millisecond
	// readerStartPatience is startPatience for a reader. It lets the process learn of
	// others, so that not all of those that start together take themselves for readers.
	readerStartPatience = 20 * time.Millisecond
	// patience is the age of the last known contact with the store at which a process
	// reads the store itself.
	patience = 2500 * time.Millisecond
	// maxJitter spreads the reads of processes that lost contact together.
	maxJitter = 500 * time.Millisecond
	// transferPatience is how long a process waits for the next part of changes that
	// another one is sending, rather than read the store over the same network link.
	transferPatience = 700 * time.Millisecond
	// probesPerSecond bounds the reads of all processes together that are no readers,
	// while the store doesn't respond.
	probesPerSecond = 8
	// maxReadInterval is the longest time between two reads of a process that reads all
	// the time. A longer one is due to a pause of the process or of its duty to read.
	maxReadInterval = 5500 * time.Millisecond
)

// Contact is the last known contact of any process with the store.
type Contact struct {
	At     time.Time // by the clock of this process
	Origin string    // instance that read the store
	Since  time.Time // first of the reads of that instance, up to this one, none of which failed; zero: not known
}

// Transfer describes how changes came from another process.
type Transfer struct {
	From  string        // instance that sent them
	Bytes int           // as they were sent
	Took  time.Duration // since they were requested
}

// Position tells how much of the store a process has read.
type Position struct {
	Point               // up to which it has all changes
	Contact   Contact   // last known contact of any process with the store; zero: none
	OutageEnd time.Time // end of the last known outage of the store; zero: none
}

// Follower decides when a process reads the store itself. Set the exported fields
// before use. It is not safe for concurrent use.
type Follower struct {
	Self    string // instance ID of this process
	Started time.Time
	Jitter  float64 // of this process, from 0 to 1

	own    Contact // last contact of this process
	others Contact // last contact of another process
	probed time.Time

	receivedAt time.Time // when the last part of changes arrived from another process
}

// RecordOwn records that this process read the store as of a time, and returns its last contact.
func (f *Follower) RecordOwn(now time.Time) Contact {
	if f.own.At.IsZero() || now.Sub(f.own.At) > maxReadInterval {
		f.own.Since = now
	}
	f.own.At, f.own.Origin = later(f.own.At, now), f.Self
	return f.own
}

// Interrupt records that what this process reads from now on doesn't continue its
// earlier reads, because one has failed or the store was restored from a copy.
func (f *Follower) Interrupt(now time.Time) { f.own.Since = now }

// ReadSince reports whether another process is known to have read the store after a time.
func (f *Follower) ReadSince(t time.Time) bool { return f.others.At.After(t) }

// RecordOther records the last contact that another process knows of.
func (f *Follower) RecordOther(c Contact) {
	if c.Origin != f.Self && c.At.After(f.others.At) {
		f.others = c
	}
}

// RecordTransfer records that a part of changes arrived from another process.
func (f *Follower) RecordTransfer(now time.Time) { f.receivedAt = now }

// Last returns the last known contact.
func (f *Follower) Last() Contact {
	if f.others.At.After(f.own.At) {
		return f.others
	}
	return f.own
}

// ShouldRead reports whether this process should read the store now. reader tells
// whether it is one of those that read for the others, size is the number of
// processes, and failures the number of its own reads that failed in a row.
func (f *Follower) ShouldRead(now time.Time, reader bool, size, failures int) bool {
	jitter := time.Duration(f.Jitter * float64(maxJitter))
	if f.Last().At.IsZero() {
		start := startPatience + jitter
		if reader {
			start = readerStartPatience
		}
		if now.Sub(f.Started) < start {
			return false
		}
	}
	if reader {
		return true
	}
	if now.Sub(f.others.At) < patience+jitter || now.Sub(f.receivedAt) < transferPatience {
		return false
	}
	if failures == 0 {
		return true
	}
	interval := time.Duration(float64(size) / probesPerSecond * (0.5 + f.Jitter) * float64(time.Second))
	if now.Sub(f.probed) < interval {
		return false
	}
	f.probed = now
	return true
}
