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

// Live holds the settings in force. Make it with Open. Get is safe for
// concurrent use; Reload is called from one goroutine.
type Live struct {
	file  string
	raw   []byte // as last read, also if it was refused
	inUse atomic.Pointer[Settings]
}

// RestartError says which changed key takes effect only at a start.
type RestartError struct{ Key string }

// Error names the key.
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
	l.raw = raw
	l.inUse.Store(&s)
	return l, nil
}

// File returns the name of the file.
func (l *Live) File() string { return l.file }

// Get returns the settings in force. They must not be changed.
func (l *Live) Get() *Settings { return l.inUse.Load() }

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

// Reload reads the file again. It returns the keys that changed, none if the
// file is as it was at the last read. An error is a *sets.FileError; the
// settings in force then stay.
func (l *Live) Reload() ([]string, error) {
	raw, s, err := l.read()
	if raw != nil && bytes.Equal(raw, l.raw) {
		return nil, nil
	}
	if raw != nil {
		l.raw = raw // a file that can't be used is told of once
	}
	if err != nil {
		return nil, err
	}
	old := l.Get()
	if key := fixed(old, &s); key != "" {
		return nil, &sets.FileError{File: l.file, Err: &RestartError{Key: key}}
	}
	l.inUse.Store(&s)
	return changed(old, &s), nil
}

// fixed returns a key that can't change while the process runs, but did.
func fixed(a, b *Settings) string {
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

// changed returns the top keys that differ.
func changed(a, b *Settings) []string {
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
