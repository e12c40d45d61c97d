// Package sets reads the settings files of the programs.
package sets

import (
	"fmt"
	"os"

	"wigeonplank.example/core/conf"
)

// FileError reports that a settings file can't be used.
type FileError struct {
	File string
	Err  error // the cause
}

// Error returns a message with the name of the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("settings file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Load decodes a YAML file into a T. Unknown keys, wrong types and values that
// fail validation are errors. Any error is a *FileError.
func Load[T any](file string) (T, error) {
	var v T
	raw, err := os.ReadFile(file)
	if err != nil {
		return v, &FileError{File: file, Err: err}
	}
	if err := conf.DecodeStrict(raw, &v); err != nil {
		return v, &FileError{File: file, Err: err}
	}
	return v, nil
}
