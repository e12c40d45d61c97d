package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Proc is a child process that writes its output to a log file.
type Proc struct {
	Name string

	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start starts the program. It may be called again after the process has ended.
func (p *Proc) start() error {
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Name, err)
	}
	defer func() { _ = f.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		p.err = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// StartProc starts a program. Its output is appended to the file log.
func StartProc(name, log string, args ...string) (*Proc, error) {
	p := &Proc{Name: name, args: args, log: log}
	return p, p.start()
}

// Stop sends SIGTERM to the process and waits for its end.
func (p *Proc) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(timeout)
}

// Running reports whether the process was started and has not ended.
func (p *Proc) Running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// EndedBy reports whether a signal has ended the process.
func (p *Proc) EndedBy(s syscall.Signal) bool {
	if p.Running() {
		return false
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	return nil
}

// Wait waits until the process ends and returns its error, such as a non-zero
// exit status. It returns an error if the process runs on after the timeout.
func (p *Proc) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("%s still runs after %s", p.Name, timeout)
	}
}

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Build builds programs into dir. root is the root of the repository. Without
// names it builds the entry, the agent, the stand-ins and wpctl.
func Build(root, dir string, names ...string) error {
	return buildPrograms(root, dir, programsOrDefault(names))
}

// BuildRace is like Build but enables the race detector.
func BuildRace(root, dir string, names ...string) error {
	return buildPrograms(root, dir, programsOrDefault(names), "-race")
}

func programsOrDefault(names []string) []string {
	if len(names) == 0 {
		return []string{"entry", "agent", "fakes", "wpctl"}
	}
	return names
}

func buildPrograms(root, dir string, names []string, flags ...string) error {
	for _, name := range names {
		args := append([]string{"build"}, flags...)
		cmd := exec.Command("go", append(args, "-o", filepath.Join(dir, name), ".")...)
		cmd.Dir = filepath.Join(root, name)
		if out, err := cmd.CombinedOutput(); err != nil {
			return errors.Join(fmt.Errorf("build %s: %w", name, err), errors.New(string(out)))
		}
	}
	return nil
}
