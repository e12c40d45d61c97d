package origin

import "time"

const (
	// storeTimeout is the wait for the acknowledgement of a record.
	storeTimeout = 100 * time.Millisecond
	// maxSends is the number of times that a record is sent to a keeper that doesn't
	// acknowledge it.
	maxSends = 2
	// maxSubstitutes is the number of keepers that get a record in place of those that
	// don't acknowledge it.
	maxSubstitutes = 3
	// copyPeriod is how long new keepers get the record of a stream. A stream may go on
	// for 15 to 20 s.
	copyPeriod = 20 * time.Second
)

// Keeper is an incarnation of another relay that may remember streams.
type Keeper struct {
	Instance    string
	Incarnation uint64
}

// Copies tracks which other relays have the records of a relay's own streams. The zero
// value has none. It is not safe for concurrent use.
type Copies struct {
	streams map[string]*copied
	order   []string // IDs by the time of their first record; the first skipped ones were dropped
	skipped int
	due     map[string]bool // streams that may have to be sent
}

// copied is what is known of the copies of one record.
type copied struct {
	origin Origin
	begun  time.Time
	stored bool // a keeper has acknowledged the current record
	sent   map[Keeper]*copySent
}

type copySent struct {
	origin Origin
	at     time.Time
	times  int
	stored bool
}

// Put records the origin of an own stream, which may be a correction.
func (c *Copies) Put(now time.Time, stream string, o Origin) {
	c.expire(now)
	s := c.streams[stream]
	if s == nil {
		if c.streams == nil {
			c.streams, c.due = make(map[string]*copied), make(map[string]bool)
		}
		s = &copied{begun: now, sent: make(map[Keeper]*copySent)}
		c.streams[stream] = s
		c.order = append(c.order, stream)
	}
	if s.origin != o {
		s.origin, s.stored = o, false
	}
	c.due[stream] = true
}

// Own reports whether a stream is an own one.
func (c *Copies) Own(stream string) bool { return c.streams[stream] != nil }

// Reconsider makes all streams due, as the keepers have changed.
func (c *Copies) Reconsider(now time.Time) {
	c.expire(now)
	for id := range c.streams {
		c.due[id] = true
	}
}

// Due returns the streams that may have to be sent, in no order.
func (c *Copies) Due(now time.Time) []string {
	c.expire(now)
	out := make([]string, 0, len(c.due))
	for id := range c.due {
		out = append(out, id)
	}
	return out
}

// Next returns the record of a stream and the keepers to which it is to be sent now.
// keepers are those that can be reached, in the order in which they remember the stream; n of
// them are to have it. A stream without anything to send or to wait for is no longer due.
func (c *Copies) Next(now time.Time, stream string, keepers []Keeper, n int) (Origin, []Keeper) {
	s := c.streams[stream]
	if s == nil {
		delete(c.due, stream)
		return Origin{}, nil
	}
	var out []Keeper
	waiting := false
	want, substitutes := n, 0
	for i, k := range keepers {
		sent := s.sent[k]
		outdated := sent != nil && sent.origin != s.origin
		if i >= want && !outdated && (sent == nil || sent.stored) {
			continue // a correction goes to all that have the former record
		}
		switch {
		case sent == nil || outdated:
			out = append(out, k)
		case sent.stored:
		case now.Sub(sent.at) < storeTimeout:
			waiting = true
		default:
			if i < want && substitutes < maxSubstitutes {
				substitutes++
				want++
			}
			if sent.times < maxSends {
				out = append(out, k)
			}
		}
	}
	if len(out) == 0 && !waiting {
		delete(c.due, stream)
	}
	return s.origin, out
}

// Sent records that the current record of a stream was sent to a keeper.
func (c *Copies) Sent(now time.Time, stream string, k Keeper) {
	s := c.streams[stream]
	if s == nil {
		return
	}
	sent := s.sent[k]
	if sent == nil || sent.origin != s.origin {
		sent = &copySent{origin: s.origin}
		s.sent[k] = sent
	}
	sent.at = now
	sent.times++
}

// Relinked records that there is a new link to a keeper. What it hasn't acknowledged over the
// former one may be lost, and is due again.
func (c *Copies) Relinked(now time.Time, k Keeper) {
	c.Reconsider(now)
	for _, s := range c.streams {
		if sent := s.sent[k]; sent != nil && !sent.stored {
			sent.at, sent.times = time.Time{}, 0
		}
	}
}

// Stored records that a keeper has acknowledged a record of a stream. It returns the time
// since the record was sent to it, and whether this is the first acknowledgement of the
// current record.
func (c *Copies) Stored(now time.Time, stream string, k Keeper, o Origin) (took time.Duration, first bool) {
	s := c.streams[stream]
	if s == nil || s.sent[k] == nil || s.sent[k].origin != o || s.origin != o {
		return 0, false
	}
	first, s.stored = !s.stored, true
	s.sent[k].stored = true
	return now.Sub(s.sent[k].at), first
}

// expire drops the streams that are older than copyPeriod or too many.
func (c *Copies) expire(now time.Time) {
	for c.skipped < len(c.order) {
		id := c.order[c.skipped]
		if now.Sub(c.streams[id].begun) <= copyPeriod && len(c.streams) < maxStreams {
			break
		}
		delete(c.streams, id)
		delete(c.due, id)
		c.skipped++
	}
	if c.skipped > len(c.order)/2 {
		c.order = append([]string(nil), c.order[c.skipped:]...)
		c.skipped = 0
	}
}
