// Command entry accepts callers' requests and executes their pipelines.
package main

import (
	"os"

	"wigeonplank.example/entry/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
