// Command proof runs whole deployments on loopback, with stand-ins for engines
// and services: the demo, the failure tests and the benchmarks.
package main

import (
	"os"

	"wigeonplank.example/proof/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
