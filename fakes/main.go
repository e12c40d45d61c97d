// Command fakes runs stand-ins for the platform and the back ends, for demos and tests.
package main

import (
	"os"

	"wigeonplank.example/fakes/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
