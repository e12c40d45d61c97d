// Command agent runs beside one endpoint and decides which requests the endpoint
// gets, and when.
package main

import (
	"os"

	"wigeonplank.example/agent/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
