package main

import (
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

// site is a small deployment on loopback addresses: relays as separate processes, and
// stand-ins of the store, the servers and the clients in this process.
type site struct {
	root    string // of the repository
	tmp     string
	subnet  string // first three bytes of the loopback addresses
	store   *store
	relays  []*relay
	servers []*server
	config  *config
	began   time.Time

	recordMu sync.Mutex
	record   *os.File
	broken   int // times that the rule was broken

	mu       sync.Mutex
	requests map[string]*request // by X-Attempt-Id, as sent
	results  map[string]*result  // by handle, all that were ever made
	mixed    map[string]bool     // attempts whose streams hold events of two versions
}

// logf writes a line to the record, with the seconds since the start.
func (s *site) logf(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that a rule was broken.
func (s *site) breakf(format string, args ...any) {
	s.recordMu.Lock()
	s.broken++
	s.recordMu.Unlock()
	s.logf("BROKEN "+format, args...)
}

// relay is one process of the system.
type relay struct {
	name, zone, ip string
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

func (r *relay) frontend() string { return r.ip + ":8625" }

func newSite(root, dir string) (*site, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{
		root: root, tmp: tmp, store: newStore(), record: record, began: time.Now(),
		requests: make(map[string]*request), results: make(map[string]*result), mixed: make(map[string]bool),
	}
	// A subnet of the loopback network on which the ports of the settings are free.
	for range 50 {
		s.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		ln, err := net.Listen("tcp", s.subnet+".1:8624")
		if err != nil {
			continue
		}
		_ = ln.Close()
		return s, s.store.serve(s.subnet + ".1:8624")
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

var (
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`)
)

// startRelays starts n relays with the command of the deploy file and settings made from
// its template.
func (s *site) startRelays(n int, zones []string, memoryMb int) error {
	template, err := os.ReadFile(filepath.Join(s.root, "deploy/relay.yaml.tmpl"))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", s.relayIP(i)+":8628"))
	}
	for i := range n {
		ip, zone := s.relayIP(i), zones[i%len(zones)]
		r := &relay{name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), zone: zone, ip: ip, settings: filepath.Join(s.tmp, fmt.Sprintf("relay-%d.yaml", i))}
		values := map[string]string{
			"nodeName": fmt.Sprintf("%q", r.name), "zone": fmt.Sprintf("%q", zone), "ip": ip,
			"listen.frontend": fmt.Sprintf("%q", r.frontend()), "listen.readiness": fmt.Sprintf("%q", ip+":8621"),
			"listen.controlPlane": fmt.Sprintf("%q", ip+":8628"), "seeds": "[" + strings.Join(seeds, ",") + "]",
			"platform.address": fmt.Sprintf("%q", s.subnet+".1:8624"), "platform.historyS": "20", "limits.memoryMb": fmt.Sprint(memoryMb),
			"limits.cores": "1", "limits.cpuShare": "0.304", "limits.linkMbps": "1000.0", "bounds.graceS": "8",
			"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "54", "bounds.budgetWindowS": "10",
			"bounds.coldOvershoot": "1.5", "bounds.coldSlack": "5",
		}
		text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
			return values[placeholder.FindStringSubmatch(p)[1]]
		})
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.relays = append(s.relays, r)
		if err := s.start(r); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) relayIP(i int) string { return fmt.Sprintf("%s.%d", s.subnet, 41+i) }

// start starts the process of a relay.
func (s *site) start(r *relay) error {
	deploy, err := os.ReadFile(filepath.Join(s.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		return fmt.Errorf("no command in the deploy file")
	}
	words := strings.Fields(string(m[1]))
	for i, w := range words {
		if strings.HasPrefix(w, "/etc/") {
			words[i] = r.settings
		}
	}
	log, err := os.OpenFile(filepath.Join(s.tmp, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command(filepath.Join(s.root, words[0]), words[1:]...)
	r.cmd.Dir, r.cmd.Stdout, r.cmd.Stderr = s.root, log, log
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.tmp, "LANG=C", "WIGEONPLANK_CONFIG=" + r.settings}
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	cmd, done := r.cmd, make(chan struct{})
	r.done = done
	go func() {
		err := cmd.Wait()
		s.logf("relay %s has ended: %v", r.name, err)
		close(done)
	}()
	s.logf("relay %s started at %s", r.name, r.frontend())
	return nil
}

// awaitReady waits until all relays are ready.
func (s *site) awaitReady() error {
	for _, r := range s.relays {
		ok := false
		for range 200 {
			if resp, err := get(r.ip+":8621", "/readyz"); err == nil && resp == 200 {
				ok = true
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !ok {
			return fmt.Errorf("relay %s isn't ready", r.name)
		}
	}
	return nil
}

// stop ends all relays.
func (s *site) stop(keep bool) {
	for _, r := range s.relays {
		if r.done != nil { // it was started
			_ = r.cmd.Process.Kill()
			<-r.done
		}
	}
	if !keep {
		_ = os.RemoveAll(s.tmp)
	}
	_ = s.record.Close()
}

// mix records that the stream of an attempt holds events of two versions. It reports
// whether that is new.
func (s *site) mix(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := !s.mixed[id]
	s.mixed[id] = true
	return isNew
}
