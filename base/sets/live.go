package sets

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"sync/atomic"

	"wigeonplank.example/core/conf"
)

// Live holds the current settings of a daemon and reloads them from their file. Create it with
// Open. Get is safe for concurrent use; Reload must be called from one goroutine only.
type Live[T any] struct {
	file     string
	fixed    func(before, after *T) string
	lastRead []byte // contents of the file at the last read, even if they were rejected; nil: it couldn't be read
	current  atomic.Pointer[T]
}

// RestartError reports a changed setting that can't be applied without a restart.
type RestartError struct{ Key string }

// Error returns the key of the setting and the reason.
func (e *RestartError) Error() string {
	return fmt.Sprintf("%s: a change of it needs a restart", e.Key)
}

// Open reads a settings file. fixed returns the key of a setting that differs, but can't change
// without a restart, or "" if there is none. Any error is a *FileError.
func Open[T any](file string, fixed func(before, after *T) string) (*Live[T], error) {
	l := &Live[T]{file: file, fixed: fixed}
	raw, v, err := read[T](file)
	if err != nil {
		return nil, err
	}
	l.lastRead = raw
	l.current.Store(&v)
	return l, nil
}

// OpenFixed is Open for settings none of which can change without a restart.
func OpenFixed[T any](file string) (*Live[T], error) {
	return Open(file, func(before, after *T) string {
		if keys := changedKeys(before, after); len(keys) > 0 {
			return keys[0]
		}
		return ""
	})
}

// File returns the path of the settings file.
func (l *Live[T]) File() string { return l.file }

// Get returns the current settings, which must not be modified.
func (l *Live[T]) Get() *T { return l.current.Load() }

// Reload reads the file again and applies changed settings. It returns the top-level keys that
// changed, none if the file is the same as at the last read. Any error is a *FileError; the
// current settings then stay active.
func (l *Live[T]) Reload() ([]string, error) {
	raw, v, err := read[T](l.file)
	if bytes.Equal(raw, l.lastRead) && (raw == nil) == (l.lastRead == nil) {
		return nil, nil
	}
	l.lastRead = raw // also if the contents are invalid or missing, so that they are reported once
	if err != nil {
		return nil, err
	}
	before := l.Get()
	if key := l.fixed(before, &v); key != "" {
		return nil, &FileError{File: l.file, Err: &RestartError{Key: key}}
	}
	l.current.Store(&v)
	return changedKeys(before, &v), nil
}

// read reads and decodes a file. It also returns the contents of the file if only their decoding
// fails. Any error is a *FileError.
func read[T any](file string) ([]byte, T, error) {
	var v T
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, v, &FileError{File: file, Err: err}
	}
	if err := conf.DecodeStrict(raw, &v); err != nil {
		return raw, v, &FileError{File: file, Err: err}
	}
	return raw, v, nil
}

// changedKeys returns the top-level keys whose values differ.
func changedKeys[T any](a, b *T) []string {
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
