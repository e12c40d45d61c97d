// Package feed holds a growing sequence of bytes with an end mark, which any
// number of readers follow at their own pace.
package feed

import "sync"

// Feed collects bytes and, at last, an end of type E. The zero value is ready
// to use. It is safe for concurrent use.
type Feed[E any] struct {
	mu      sync.Mutex
	data    []byte
	end     *E
	changed chan struct{}
}

// Append adds bytes.
func (f *Feed[E]) Append(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = append(f.data, p...)
	f.wake()
}

// Len returns how many bytes there are.
func (f *Feed[E]) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.data)
}

// Bytes returns what there is. The bytes must not be changed.
func (f *Feed[E]) Bytes() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.data[:len(f.data):len(f.data)]
}

// End closes the feed. Only the first call counts.
func (f *Feed[E]) End(e E) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.end != nil {
		return
	}
	f.end = &e
	f.wake()
}

func (f *Feed[E]) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Next returns the bytes from offset on, at most limit, or the end once all
// bytes are read. If there is neither yet it returns a channel that is closed
// when there is.
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
