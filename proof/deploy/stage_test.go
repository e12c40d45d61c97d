package deploy_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/deploy"
)

const (
	awaitLimit = 20 * time.Second // of what has to happen at all
	awaitPause = 20 * time.Millisecond
)

// stage is what one script acts on.
type stage struct {
	d     *deploy.Deploy
	calls map[string]*call
}

type stageKey struct{}

var optionName = regexp.MustCompile("^[a-z]+$")

func newStage(dir string) (*stage, error) {
	s, err := site.StartStandard()
	if err != nil {
		return nil, err
	}
	return &stage{d: &deploy.Deploy{Site: s, Dir: dir, Bin: binDir}, calls: make(map[string]*call)}, nil
}

// strike ends everything and looks for what went wrong unseen.
func (s *stage) strike() error {
	errs := []error{s.d.Stop()}
	for _, r := range s.d.Relays {
		raw, err := os.ReadFile(r.Log)
		errs = append(errs, err)
		for _, mark := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if i := bytes.Index(raw, []byte(mark)); i >= 0 {
				errs = append(errs, fmt.Errorf("%s: %s", r.Name, raw[i:min(i+3000, len(raw))]))
			}
		}
	}
	return errors.Join(errs...)
}

// line is a command's words; those of the form key=value are options.
type line struct {
	ts    *testscript.TestScript
	s     *stage
	words []string
	opts  map[string]string
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, f := range map[string]func(*line) error{
		"relay":   startRelay,
		"signal":  signal,
		"ended":   ended,
		"call":    makeCall,
		"begin":   beginCall,
		"end":     endCall,
		"raw":     sendRaw,
		"fault":   setFault,
		"crash":   crash,
		"state":   register,
		"entry":   putEntry,
		"drain":   drain,
		"publish": publish,
		"store":   failStore,
		"ran":     checkRan,
		"header":  checkHeader,
		"held":    checkHeld,
		"log":     awaitLog,
		"ready":   awaitReady,
		"count":   countLog,
		"set":     changeSettings,
		"trace":   trace,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, list []string) {
			l := &line{ts: ts, s: ts.Value(stageKey{}).(*stage), opts: make(map[string]string)}
			for _, w := range list {
				if k, v, ok := strings.Cut(w, "="); ok && optionName.MatchString(k) {
					l.opts[k] = v
					continue
				}
				l.words = append(l.words, w)
			}
			if err := f(l); (err != nil) != neg {
				ts.Fatalf("%s: negated %v, but: %v", name, neg, err)
			}
		}
	}
	return out
}

func (l *line) word(i int) string {
	if i >= len(l.words) {
		l.ts.Fatalf("word %d is missing", i)
	}
	return l.words[i]
}

func (l *line) number(i int) int {
	n, err := strconv.Atoi(l.word(i))
	l.ts.Check(err)
	return n
}

func (l *line) relay(name string) *deploy.Relay {
	r := l.s.d.Relay(name)
	if r == nil {
		l.ts.Fatalf("no relay %q", name)
	}
	return r
}

func (l *line) server(id string) *site.Server {
	s := l.s.d.Site.Server(id)
	if s == nil {
		l.ts.Fatalf("no endpoint %q", id)
	}
	return s
}

// await waits until what is said to happen has happened.
func await(what string, holds func() bool) error {
	for end := time.Now().Add(awaitLimit); time.Now().Before(end); time.Sleep(awaitPause) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("waited in vain for %s", what)
}

// relay NAME ZONE [ready=no]: start a relay.
func startRelay(l *line) error {
	r, err := l.s.d.Start(l.word(0), l.word(1))
	if err != nil || l.opts["ready"] == "no" {
		return err
	}
	return l.s.d.AwaitReady(context.Background(), r)
}

// ready NAME: wait until a relay is ready.
func awaitReady(l *line) error { return l.s.d.AwaitReady(context.Background(), l.relay(l.word(0))) }

// signal NAME TERM|KILL|HUP|STOP|CONT.
func signal(l *line) error {
	sig := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "HUP": syscall.SIGHUP, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}[l.word(1)]
	return l.relay(l.word(0)).Proc().Signal(sig)
}

// ended NAME: wait for the end of a relay, which has to be in order.
func ended(l *line) error { return l.relay(l.word(0)).Proc().Wait(awaitLimit) }

// set NAME KEY VALUE [raw=TEXT]: change a relay's settings file.
func changeSettings(l *line) error {
	r := l.relay(l.word(0))
	if text, ok := l.opts["raw"]; ok {
		return os.WriteFile(r.File, []byte(text), 0o600)
	}
	switch l.word(1) {
	case "retry.slack":
		r.Settings.Retry.Slack = float64(l.number(2))
	case "no_admission":
		r.Settings.Policy.NoAdmission = l.word(2) == "true"
	case "zone":
		r.Settings.Zone = l.word(2)
	default:
		return fmt.Errorf("no key %q", l.word(1))
	}
	return r.Write()
}

// fault ENDPOINT FAULT N: the next N answers go wrong.
func setFault(l *line) error {
	l.server(l.word(0)).Fail(site.Fault(l.word(1)), l.number(2))
	return nil
}

// crash ENDPOINT: it ends without a word.
func crash(l *line) error { return l.s.d.Site.Crash(l.word(0)) }

// state ENDPOINT ready|draining|gone.
func register(l *line) error {
	if l.word(1) == "gone" {
		l.s.d.Site.Remove(l.word(0))
		return nil
	}
	return l.s.d.Site.Register(l.word(0), l.word(1))
}

// entry KEY FILE [address=ENDPOINT]: write raw bytes into the store; ADDRESS in
// them becomes that of an endpoint.
func putEntry(l *line) error {
	text := l.ts.ReadFile(l.word(1))
	if id := l.opts["address"]; id != "" {
		text = strings.ReplaceAll(text, "ADDRESS", l.server(id).Addr)
	}
	l.s.d.Site.Store.Put(l.word(0), []byte(text))
	return nil
}

// drain ZONE [back].
func drain(l *line) error {
	if len(l.words) > 1 {
		l.s.d.Site.Return(l.word(0))
	} else {
		l.s.d.Site.Drain(l.word(0))
	}
	return nil
}

// publish VERSION [drop=PREFIX] [key=KEY]: write a configuration without a
// route, or with another key.
func publish(l *line) error {
	cfg := site.StandardConfig(l.number(0))
	if p := l.opts["drop"]; p != "" {
		var kept []any
		for _, r := range cfg["routes"].([]any) {
			if r.(map[string]any)["prefix"] != p {
				kept = append(kept, r)
			}
		}
		cfg["routes"] = kept
	}
	if k := l.opts["key"]; k != "" {
		cfg["tenants"] = []any{map[string]any{"name": site.StandardTeam, "apiKeys": []string{k}}}
	}
	return l.s.d.Site.Publish(cfg)
}

// store up|busy|down|mute|compact.
func failStore(l *line) error {
	switch l.word(0) {
	case "up":
		l.s.d.Site.Store.Fail(site.OutageNone)
	case "compact":
		l.s.d.Site.Store.Compact()
	default:
		l.s.d.Site.Store.Fail(site.Outage(l.word(0)))
	}
	return nil
}

// runs returns where the request of a call ran.
func (l *line) runs(name string) map[string][]site.Seen {
	out := make(map[string][]site.Seen)
	for _, srv := range l.s.d.Site.Servers() {
		for _, seen := range srv.Ran() {
			if seen.ID == name {
				out[srv.ID] = append(out[srv.ID], seen)
			}
		}
	}
	return out
}

// ran CALL N [on=ENDPOINT] [not=ENDPOINT]: how often a request ran.
func checkRan(l *line) error {
	runs := l.runs(l.word(0))
	n := 0
	for id, list := range runs {
		n += len(list)
		if on := l.opts["on"]; on != "" && !strings.HasPrefix(id, on) {
			return fmt.Errorf("ran on %s", id)
		}
		if id == l.opts["not"] {
			return fmt.Errorf("ran on %s", id)
		}
	}
	if n != l.number(1) {
		return fmt.Errorf("ran %d times: %v", n, runs)
	}
	return nil
}

// header CALL NAME VALUE: what an endpoint got; VALUE is a regular expression,
// and none if it is "none".
func checkHeader(l *line) error {
	runs := 0
	for id, list := range l.runs(l.word(0)) {
		for _, seen := range list {
			runs++
			got, ok := seen.Headers[strings.ToLower(l.word(1))]
			if !ok {
				got = "none"
			}
			if matches, err := regexp.MatchString("^("+l.word(2)+")$", got); err != nil || !matches {
				return fmt.Errorf("%s got %q (%w)", id, got, err)
			}
		}
	}
	if runs == 0 {
		return fmt.Errorf("%s did not run", l.word(0))
	}
	return nil
}

// held N: wait until all endpoints of stages together hold N results.
func checkHeld(l *line) error {
	return await(fmt.Sprint("results: ", l.word(0)), func() bool {
		n := 0
		for _, srv := range l.s.d.Site.Servers() {
			n += srv.Results()
		}
		return n == l.number(0)
	})
}

// log NAME PATTERN...: wait until a line of a relay's log matches all patterns.
func awaitLog(l *line) error {
	patterns := make([]*regexp.Regexp, 0, len(l.words))
	for _, w := range l.words[1:] {
		patterns = append(patterns, regexp.MustCompile(w))
	}
	return await(fmt.Sprint("a log line of ", l.words), func() bool { return l.matches(l.word(0), patterns) > 0 })
}

// count NAME N PATTERN...: so many lines of a relay's log match all patterns.
func countLog(l *line) error {
	patterns := make([]*regexp.Regexp, 0, len(l.words))
	for _, w := range l.words[2:] {
		patterns = append(patterns, regexp.MustCompile(w))
	}
	if n := l.matches(l.word(0), patterns); n != l.number(1) {
		return fmt.Errorf("%d lines", n)
	}
	return nil
}

// matches returns how many lines of a relay's log match all patterns.
func (l *line) matches(relay string, patterns []*regexp.Regexp) int {
	raw, err := os.ReadFile(l.relay(relay).Log)
	l.ts.Check(err)
	n := 0
lines:
	for row := range bytes.SplitSeq(raw, []byte{'\n'}) {
		for _, p := range patterns {
			if !p.Match(row) {
				continue lines
			}
		}
		n++
	}
	return n
}
