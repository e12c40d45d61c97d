package cmds

import (
	"fmt"
	"os"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/slope"
)

// Latency is the command latency.
type Latency struct {
	Root string `long:"root" default:"." description:"top of the repository"`
}

// Execute measures and prints what the path adds to a call.
func (l *Latency) Execute([]string) error {
	top, err := os.MkdirTemp("", "wigeonplank-latency-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(top) }()
	if err := fleet.Build(l.Root, top); err != nil {
		return err
	}
	a, err := (&slope.Runner{Bin: top, Top: top}).Latency()
	if err != nil {
		return err
	}
	fmt.Printf("direct   p50 %s, p99 %s\n", a.DirectP50, a.DirectP99)
	fmt.Printf("through  p50 %s, p99 %s\n", a.ThroughP50, a.ThroughP99)
	fmt.Printf("ratio    p50 %.2f, p99 %.2f; added at p50 %s\n", float64(a.ThroughP50)/float64(a.DirectP50),
		float64(a.ThroughP99)/float64(a.DirectP99), a.ThroughP50-a.DirectP50)
	return nil
}
