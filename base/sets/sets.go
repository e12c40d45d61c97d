// Package sets reads the settings files of the programs.
package sets

import "fmt"

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
	_, v, err := read[T](file)
	return v, err
}
