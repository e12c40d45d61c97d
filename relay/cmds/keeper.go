package cmds

import (
	"fmt"
	"os"
	"time"

	"wigeonplank.example/base/accept"
	"wigeonplank.example/base/start"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/relay/keeper"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/sets"
)

// runKeeper runs a keeper until the process is signalled to stop or its listener fails.
func runKeeper(file string, signals *start.Signals) error {
	live, err := sets.OpenKeeper(file)
	if err != nil {
		return err
	}
	s := live.Get()
	setMemoryLimit(s.MemoryBytes)
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
	apply := func(s *sets.Keeper) { setMemoryLimit(s.MemoryBytes) }
	if err := signals.AwaitStop(failed, func() { reload(live, l, apply) }); err != nil {
		return err
	}
	l.Event(logs.Stopped).Msg("")
	l.Flush(flushTimeout)
	return nil
}
