// Package feed provides an append-only byte buffer with an end value. Any number
// of readers can follow it at their own pace.
package feed

import "sync"

// Feed is an append-only buffer that ends with a value of type E. The zero value
// is an empty feed. It is safe for concurrent use.
type Feed[E any] struct {
	mu      sync.Mutex
	data    []byte
	end     *E            // nil: not ended
	changed chan struct{} // closed at the next change; nil: no reader waits
}

// Append adds bytes to the feed.
func (f *Feed[E]) Append(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = append(f.data, p...)
	f.notify()
}

// Len returns the number of bytes in the feed.
func (f *Feed[E]) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.data)
}

// Bytes returns the bytes added so far. The caller must not modify them.
func (f *Feed[E]) Bytes() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.data[:len(f.data):len(f.data)]
}

// End ends the feed with the value e. Later calls have no effect.
func (f *Feed[E]) End(e E) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.end != nil {
		return
	}
	f.end = &e
	f.notify()
}

// notify wakes the readers that wait for a change. The caller holds f.mu.
func (f *Feed[E]) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Next returns at most limit bytes from offset on, or the end value if the feed
// ended at offset. If neither is available yet, it returns a channel that is
// closed at the next change. The caller must not modify the bytes.
func (f *Feed[E]) Next(offset, limit int) (data []byte, end *E, more <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset < len(f.data) {
		to := min(offset+limit, len(f.data))
		return f.data[offset:to:to], nil, nil
	}
	if f.end != nil {
		return nil, f.end, nil
	}
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return nil, nil, f.changed
}
