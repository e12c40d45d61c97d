// Package sets reads the settings files of the programs.
package sets

import (
	"fmt"
	"os"

	"wigeonplank.example/core/conf"
)

// FileError says which settings file can't be used, and why.
type FileError struct {
	File string
	Err  error
}

// Error names the file before the problem.
func (e *FileError) Error() string { return fmt.Sprintf("settings file %s: %v", e.File, e.Err) }

// Unwrap returns the problem.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads a YAML file into a T: unknown keys, wrong types and failed checks
// are errors. Any error is an *FileError.
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
