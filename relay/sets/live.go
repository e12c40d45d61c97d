package sets

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"sync/atomic"

	"wigeonplank.example/base/sets"
	"wigeonplank.example/core/conf"
)

// Live holds the current settings and reloads them from their file. Create it
// with Open. Get is safe for concurrent use; Reload must be called from one
// goroutine only.
type Live struct {
	file     string
	lastRead []byte // contents of the file at the last read, even if they were rejected
	current  atomic.Pointer[Settings]
}

// RestartError reports a changed setting that can't be applied without a restart.
type RestartError struct{ Key string }

// Error returns the key of the setting and the reason.
func (e *RestartError) Error() string {
	return fmt.Sprintf("%s: a change of it needs a restart", e.Key)
}

// Open reads a settings file. Any error is a *sets.FileError.
func Open(file string) (*Live, error) {
	l := &Live{file: file}
	raw, s, err := l.read()
	if err != nil {
		return nil, err
	}
	l.lastRead = raw
	l.current.Store(&s)
	return l, nil
}

// File returns the path of the settings file.
func (l *Live) File() string { return l.file }

// Get returns the current settings, which must not be modified.
func (l *Live) Get() *Settings { return l.current.Load() }

// read reads and decodes the file. It also returns the contents of the file if
// only their decoding fails.
func (l *Live) read() ([]byte, Settings, error) {
	var s Settings
	raw, err := os.ReadFile(l.file)
	if err != nil {
		return nil, s, &sets.FileError{File: l.file, Err: err}
	}
	if err := conf.DecodeStrict(raw, &s); err != nil {
		return raw, s, &sets.FileError{File: l.file, Err: err}
	}
	return raw, s, nil
}

// Reload reads the file again and applies changed settings. It returns the
// top-level keys that changed, none if the file is the same as at the last read.
// Any error is a *sets.FileError; the current settings then stay active.
func (l *Live) Reload() ([]string, error) {
	raw, s, err := l.read()
	if raw != nil && bytes.Equal(raw, l.lastRead) {
		return nil, nil
	}
	if raw != nil {
		l.lastRead = raw // also if the contents are invalid, so that they are reported once
	}
	if err != nil {
		return nil, err
	}
	old := l.Get()
	if key := changedFixedKey(old, &s); key != "" {
		return nil, &sets.FileError{File: l.file, Err: &RestartError{Key: key}}
	}
	l.current.Store(&s)
	return changedKeys(old, &s), nil
}

// changedFixedKey returns the key of a setting that differs, but can't change
// without a restart. It returns "" if there is none.
func changedFixedKey(a, b *Settings) string {
	switch {
	case a.Instance != b.Instance:
		return "instance"
	case a.Zone != b.Zone:
		return "zone"
	case a.HTTP != b.HTTP:
		return "http"
	case a.Admin != b.Admin:
		return "admin"
	case !reflect.DeepEqual(a.Metrics, b.Metrics):
		return "metrics"
	case a.Peers.Listen != b.Peers.Listen:
		return "peers.listen"
	case a.Store != b.Store:
		return "store"
	}
	return ""
}

// changedKeys returns the top-level keys whose values differ.
func changedKeys(a, b *Settings) []string {
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	var out []string
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			key, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("yaml"), ",")
			out = append(out, key)
		}
	}
	return out
}
