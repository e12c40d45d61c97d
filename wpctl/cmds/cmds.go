// Package cmds is the operators' command line.
package cmds

// Main runs a command and returns the exit status.
func Main([]string) int { return 0 }
