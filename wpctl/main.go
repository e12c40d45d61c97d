// Command wpctl is the operators' tool.
package main

import (
	"os"

	"wigeonplank.example/wpctl/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
