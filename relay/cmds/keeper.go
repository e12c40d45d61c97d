package cmds

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"time"

	"wigeonplank.example/base/accept"
	base "wigeonplank.example/base/sets"
	"wigeonplank.example/base/start"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/relay/keeper"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/sets"
)

// runKeeper runs a keeper until the process is signalled to stop or its listener fails.
func runKeeper(file string) error {
	var s sets.Keeper
	raw, err := os.ReadFile(file)
	if err == nil {
		err = conf.DecodeStrict(raw, &s)
	}
	if err != nil {
		return &base.FileError{File: file, Err: err}
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(math.Ceil(float64(s.MemoryBytes) * memoryLimitRatio)))
	}
	inc, err := start.NewIncarnation()
	if err != nil {
		return err
	}
	l := logs.New(os.Stdout, clock.System{}, s.Instance)
	ln, err := accept.Listen(s.Links.Listen, func(addr string, err error) { l.Event(logs.AcceptFailed).Str("addr", addr).Err(err).Msg("") })
	if err != nil {
		return fmt.Errorf("listen for relays: %w", err)
	}
	k := &keeper.Server{Instance: s.Instance, Incarnation: inc.ID, Started: time.Now(), Clock: clock.System{}}
	failed := make(chan error, 1)
	go func() { failed <- k.Serve(ln) }()
	l.Event(logs.Started).Str("settings", file).Msg("")
	if err := start.AwaitStop(failed); err != nil {
		return err
	}
	l.Event(logs.Stopped).Msg("")
	l.Flush(flushTimeout)
	return nil
}
