package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is what one script plays: a store, servers, relays, keepers, and the record.
type world struct {
	trouble bool
	seed    uint64
	begun   time.Time
	dir     string // temporary
	store   *store
	net     string // first three bytes of the loopback addresses

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	rng    *rand.Rand
	procs  []*process
	nextID int
	broken int
	closed bool
}

func newWorld(record string, trouble bool, seed uint64) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, seed: seed, begun: time.Now(), dir: dir, file: f, record: bufio.NewWriter(f), rng: rand.New(rand.NewPCG(seed, 1))}
	w.net = fmt.Sprintf("127.%d.%d", 10+w.rng.IntN(200), 1+w.rng.IntN(250))
	w.note("trouble=%v seed=%d", trouble, seed)
	w.store, err = newStore(w.addr(250, w.freePort(250)))
	return w, err
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (w *world) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.record.Flush()
	_ = w.file.Close()
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	w.mu.Lock()
	w.broken++
	w.mu.Unlock()
}

// draw returns a number from 0 to 1.
func (w *world) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// newID returns the ID of a client's attempt.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%08x%08x", w.rng.Uint32(), w.nextID)
}

func (w *world) ip(host int) string { return fmt.Sprintf("%s.%d", w.net, host) }

func (w *world) addr(host, port int) string { return fmt.Sprintf("%s:%d", w.ip(host), port) }

// freePort returns a port that nobody uses at a loopback address.
func (w *world) freePort(host int) int {
	ln, err := net.Listen("tcp", w.ip(host)+":0")
	if err != nil {
		return 0
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// process is a relay or a keeper.
type process struct {
	name     string
	cmd      *exec.Cmd
	out      *os.File
	settings string
	args     []string
	front    string // address for clients
	ready    string // address for readiness
}

// placeholder is one of a settings template.
var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)(\|json)?\}\}`)

// render fills in a template of the deploy file.
func render(file string, fields map[string]any) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(raw), func(m string) string {
		p := placeholder.FindStringSubmatch(m)
		v, ok := fields[p[1]]
		if !ok {
			missing = fmt.Errorf("%s: no value for %s", file, p[1])
		}
		if p[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
	return out, missing
}

// bounds are those of the sheet.
type bounds struct {
	memoryRelay, memoryKeeper int
	drainMs, contactMs        int
	retrySlack                int
}

var sheet = bounds{memoryRelay: 284, memoryKeeper: 216, drainMs: 2000, contactMs: 3000, retrySlack: 52}

// startRelays starts n relays, one in each zone, with the command and the template of the deploy file.
// keeperPort is that of the keepers.
func (w *world) startRelays(zones []string, n, keeperPort int) ([]*process, error) {
	control := w.freePort(1)
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, w.addr(i+1, control))
	}
	var out []*process
	for i := range n {
		host := i + 1
		front, ready := w.freePort(host), w.freePort(host)
		fields := map[string]any{
			"nodeName": fmt.Sprintf("edge-%d", host), "zone": zones[i%len(zones)], "ip": w.ip(host),
			"listen.frontend": w.addr(host, front), "listen.readiness": w.addr(host, ready), "listen.controlPlane": w.addr(host, control),
			"seeds": seeds, "internalPorts.0": keeperPort, "platform.address": w.store.addr,
			"bounds.drainMs": sheet.drainMs, "bounds.contactMs": sheet.contactMs, "limits.memoryMb": sheet.memoryRelay,
			"limits.cores": 1, "limits.cpuShare": 0.304, "limits.linkMbps": 1000.0, "bounds.graceS": 8,
			"bounds.retryBudgetRatio": 0.2, "bounds.retryBudgetSlack": sheet.retrySlack, "bounds.budgetWindowS": 10,
			"bounds.coldOvershoot": 1.5, "bounds.coldSlack": 5,
		}
		text, err := render("deploy/relay.yaml.tmpl", fields)
		if err != nil {
			return nil, err
		}
		p := &process{name: fmt.Sprintf("edge-%d", host), front: w.addr(host, front), ready: w.addr(host, ready)}
		if err := w.start(p, text); err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// startKeeper starts a keeper at a host.
func (w *world) startKeeper(host, port int) (*process, error) {
	text, err := render("deploy/keeper.yaml.tmpl", map[string]any{
		"nodeName": fmt.Sprintf("side-%d", host), "ip": w.ip(host), "internalPorts.0": port, "limits.memoryMb": sheet.memoryKeeper,
	})
	if err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("side-%d", host), args: []string{"--keeper"}}
	return p, w.start(p, text)
}

// start starts a process with settings.
func (w *world) start(p *process, settings string) error {
	p.settings = filepath.Join(w.dir, p.name+".yaml")
	if err := os.WriteFile(p.settings, []byte(settings), 0o644); err != nil {
		return err
	}
	return w.again(p)
}

// again starts a process that has ended.
func (w *world) again(p *process) error {
	out, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	// deploy/system.toml: run = "target/relay [--keeper] --settings FILE"
	p.cmd = exec.Command("target/relay", append(p.args, "--settings", p.settings)...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), "WIGEONPLANK_CONFIG="+p.settings)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the script itself fails
	p.out = out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.note("start %s pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

// signal sends a signal to a process that the script started.
func (w *world) signal(p *process, s syscall.Signal) {
	w.note("signal %s %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// close ends all processes that the script started, and removes its folder.
func (w *world) close() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		_ = p.cmd.Wait()
		_ = p.out.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, keep)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// awaitReady waits until all relays say that they are ready.
func (w *world) awaitReady(relays []*process) error {
	end := time.Now().Add(15 * time.Second)
	for _, p := range relays {
		for !isReady(p.ready) {
			if time.Now().After(end) {
				return errors.New(p.name + " isn't ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("relays are ready")
	return nil
}

func isReady(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /readyz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", addr)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.Contains(line, " 200 ")
}
