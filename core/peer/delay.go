package peer

import "time"

// delayWindow is the time after which what is known of the clocks of a link's ends is
// renewed, as they run apart.
const delayWindow = 30 * time.Second

// Delays bounds for how long messages of a link were under way. All times are by the
// clock of the receiver or the sender, which aren't related. The zero value is ready to
// use. It is not safe for concurrent use.
type Delays struct {
	known   bool
	begun   time.Duration // of the current window, by the receiver's clock
	offset  time.Duration // least that the receiver's clock is ahead of the sender's; by messages of the current window
	earlier time.Duration // the same by those of the window before
}

// Record returns how long a message was under way at most. It was received at now, and
// sent when the sender's clock was at sent and the receiver's at least at atLeast, which is
// negative if that isn't known. It returns false if nothing is known of the clocks yet.
func (d *Delays) Record(now, sent, atLeast time.Duration) (time.Duration, bool) {
	if atLeast >= 0 {
		offset := atLeast - sent
		switch {
		case !d.known:
			d.known, d.begun, d.offset, d.earlier = true, now, offset, offset
		case now-d.begun > delayWindow:
			d.begun, d.earlier, d.offset = now, d.offset, offset
		}
		d.offset = max(d.offset, offset)
	}
	return max(0, now-sent-max(d.offset, d.earlier)), d.known
}
