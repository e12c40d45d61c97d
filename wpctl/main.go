// Command wpctl is the command line tool for operators.
package main

import (
	"os"

	"wigeonplank.example/wpctl/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
