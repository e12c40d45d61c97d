// Command proof runs whole deployments of stand-ins: the demo and benchmarks.
package main

import (
	"os"

	"wigeonplank.example/proof/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
