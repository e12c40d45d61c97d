package main

import (
	"bufio"
	"io"
	"strings"
)

// lineReader reads lines; it returns io.EOF only at the end of a body that is whole.
type lineReader struct{ r *bufio.Reader }

func newLineReader(r io.Reader) *lineReader { return &lineReader{bufio.NewReader(r)} }

func (l *lineReader) next() (string, error) {
	line, err := l.r.ReadString('\n')
	if err == io.EOF && line != "" {
		err = io.ErrUnexpectedEOF
	}
	return strings.TrimRight(line, "\r\n"), err
}
