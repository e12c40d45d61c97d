package start

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const reloadInterval = time.Second

// Signals are the signals that a daemon acts on. Stops and reloads are kept apart, so that no
// number of reloads displaces a stop.
type Signals struct {
	stop   chan os.Signal // SIGTERM, SIGINT
	reload chan os.Signal // SIGHUP
}

// catchSignals takes SIGTERM, SIGINT and SIGHUP from now on, none of which ends the process any
// more. A write to a standard stream whose reader is gone fails, and doesn't end it either.
func catchSignals() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// AwaitStop blocks until the process receives SIGTERM or SIGINT, or until an error arrives on
// failed, which it returns. It calls reload on SIGHUP and at regular intervals, as the settings
// file may change without a signal. Signals that follow the first to stop are ignored, so that
// they don't interrupt the graceful shutdown.
func (s *Signals) AwaitStop(failed <-chan error, reload func()) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case err := <-failed:
			return errors.Join(errors.New("listener failed"), err)
		case <-s.stop:
			return nil
		case <-s.reload:
			reload()
		case <-t.C:
			reload()
		}
	}
}
