// Command agent runs beside one endpoint and decides what it is given.
package main

import (
	"os"

	"wigeonplank.example/agent/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
