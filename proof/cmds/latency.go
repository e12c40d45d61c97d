package cmds

import (
	"fmt"
	"os"

	"wigeonplank.example/proof/delay"
	"wigeonplank.example/proof/fleet"
)

// Latency implements the latency command, which measures the latency that entry
// and agent add to a call.
type Latency struct {
	Root string `long:"root" default:"." description:"root directory of the repository"`
}

// Execute measures and prints the latencies of direct calls and of calls through
// entry and agent.
func (l *Latency) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-latency-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := fleet.Build(l.Root, dir); err != nil {
		return err
	}
	res, err := (&delay.Runner{Bin: dir, Dir: dir}).MeasureLatency()
	if err != nil {
		return err
	}
	fmt.Printf("direct   p50 %s, p99 %s\n", res.DirectP50, res.DirectP99)
	fmt.Printf("through  p50 %s, p99 %s\n", res.ThroughP50, res.ThroughP99)
	fmt.Printf("ratio    p50 %.2f, p99 %.2f; added at p50 %s\n", float64(res.ThroughP50)/float64(res.DirectP50),
		float64(res.ThroughP99)/float64(res.DirectP99), res.ThroughP50-res.DirectP50)
	return nil
}
