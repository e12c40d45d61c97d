// Command relay accepts callers' requests on the users' platform, runs the
// stages that precede them, and forwards them to an endpoint.
package main

import (
	"os"

	"wigeonplank.example/relay/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
