package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one deployment on loopback: the platform's store in this process, and relays,
// keepers and servers.
type world struct {
	dir    string // temporary
	repo   string
	store  *store
	addr   string // of the store
	begun  time.Time
	out    *os.File // record.txt
	mu     sync.Mutex
	procs  []*process
	closes []func()
}

// process is a process of the project.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	code  int // may be read once ended is closed
}

func newWorld(record string) *world {
	repo, err := os.Getwd()
	check(err)
	dir, err := os.MkdirTemp("", "review2-")
	check(err)
	out, err := os.Create(record)
	check(err)
	w := &world{dir: dir, repo: repo, store: newStore(), begun: time.Now(), out: out}
	ln := listen("127.0.9.1")
	w.addr = ln.Addr().String()
	srv := &http.Server{Handler: w.store}
	go func() { _ = srv.Serve(ln) }()
	w.closes = append(w.closes, func() { _ = srv.Close() })
	return w
}

// errSetup is the panic of a case that could not run.
type errSetup struct{ err error }

func check(err error) {
	if err != nil {
		panic(errSetup{err})
	}
}

func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp", ip+":0")
	check(err)
	return ln
}

// freePort returns a port that is free at all of the addresses.
func freePort(ips ...string) int {
	for range 100 {
		ln := listen(ips[0])
		port := ln.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		_ = ln.Close()
		if free {
			return port
		}
	}
	panic(errSetup{fmt.Errorf("no free port")})
}

// note writes a line to record.txt.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a program as the deploy file says.
func (w *world) start(name string, args ...string) *process {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = w.repo
	log, err := os.Create(filepath.Join(w.dir, name+"."+fmt.Sprint(time.Now().UnixNano())+".out"))
	check(err)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	_ = log.Close()
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		close(p.ended)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// close ends all that was started.
func (w *world) close() {
	for _, p := range w.procs {
		if p.alive() {
			p.kill()
		}
	}
	for _, f := range w.closes {
		f()
	}
	_ = w.out.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// relay is a relay process with its addresses.
type relay struct {
	*process
	name, zone, ip     string
	front, admin, peer string
}

// newRelay chooses the addresses of a relay.
func newRelay(n int, zone string) *relay {
	r := &relay{name: fmt.Sprintf("edge-%d", n), zone: zone, ip: fmt.Sprintf("127.0.3.%d", n)}
	r.front = fmt.Sprintf("%s:%d", r.ip, freePort(r.ip))
	r.admin = fmt.Sprintf("%s:%d", r.ip, freePort(r.ip))
	r.peer = fmt.Sprintf("%s:%d", r.ip, freePort(r.ip))
	return r
}

// startRelay starts a relay with the settings that deploy/relay.yaml.tmpl gives on a small
// installation.
func (w *world) startRelay(r *relay, seeds []string, keeperPort int) {
	file := filepath.Join(w.dir, r.name+".yaml")
	check(os.WriteFile(file, []byte(fmt.Sprintf(`instance: %q
zone: %q
http:
  listen: %q
admin:
  listen: %q
metrics:
  listen: "%s:%d"
peers:
  listen: %q
  seeds: ["%s"]
keepers:
  port: %d
store: %q
removal:
  drain_ms: 2000
  stable_ms: 3000
  return: 2s
memory_bytes: 284000000
capacity:
  cores: 1
  cpu_share: 0.304
  link_mbps: 1000.0
stop:
  longest: 8s
retry:
  ratio: 0.2
  slack: 54
  window: 10s
cold:
  overshoot: 1.5
  slack: 5
`, r.name, r.zone, r.front, r.admin, r.ip, freePort(r.ip), r.peer, strings.Join(seeds, `","`), keeperPort, w.addr)), 0o600))
	r.process = w.start(r.name, "target/relay", "--settings", file)
}

// startKeeper starts a keeper with the settings of deploy/keeper.yaml.tmpl.
func (w *world) startKeeper(name, ip string, port int) *process {
	file := filepath.Join(w.dir, name+".yaml")
	check(os.WriteFile(file, []byte(fmt.Sprintf("instance: %q\nlinks:\n  listen: \"%s:%d\"\nmemory_bytes: 216000000\n", name, ip, port)), 0o600))
	return w.start(name, "target/relay", "--keeper", "--settings", file)
}

// awaitReady waits until all relays are ready.
func (w *world) awaitReady(relays ...*relay) {
	end := time.Now().Add(15 * time.Second)
	for _, r := range relays {
		for {
			resp, err := http.Get("http://" + r.admin + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				check(fmt.Errorf("%s is not ready", r.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.note("relays are ready")
}

// awaitPort waits until something listens at an address.
func awaitPort(addr string) {
	end := time.Now().Add(10 * time.Second)
	for {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			_ = c.Close()
			return
		}
		if time.Now().After(end) {
			check(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// silentAddr returns an address at which connections hang, as behind a cut: its queue of new
// connections is full, and nothing accepts them.
func (w *world) silentAddr(ip string, port int) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	check(err)
	sa := &syscall.SockaddrInet4{Port: port}
	copy(sa.Addr[:], net.ParseIP(ip).To4())
	check(syscall.Bind(fd, sa))
	check(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	check(err)
	addr := net.JoinHostPort(ip, fmt.Sprint(name.(*syscall.SockaddrInet4).Port))
	w.closes = append(w.closes, func() { _ = syscall.Close(fd) })
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 150*time.Millisecond)
		if err != nil {
			return addr
		}
		w.closes = append(w.closes, func() { _ = c.Close() })
	}
	panic(errSetup{fmt.Errorf("%s still accepts connections", addr)})
}

// answer is what a client gets.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool // the response has ended as its framing says
	err      error
}

const apiKey = "9dnn2ctnfzs989anu6ws"

// request writes a client's request to a relay and returns its connection, from which the
// answer is read.
func request(front, method, path, id string, deadline time.Duration, header map[string]string, body string) (net.Conn, *bufio.Reader, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, nil, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, id, deadline.Milliseconds(), apiKey)
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if body != "" || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := io.WriteString(c, b.String()); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return c, bufio.NewReader(c), nil
}

// readAnswer reads a whole answer.
func readAnswer(method string, r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	return a
}

// sleepCtx waits, and reports whether ctx goes on.
func sleepCtx(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
