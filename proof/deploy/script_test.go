package deploy_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"wigeonplank.example/base/http1"
	"wigeonplank.example/fakes/site"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/relay/sets"
)

const (
	awaitTimeout      = 20 * time.Second // for each awaited condition
	awaitPollInterval = 20 * time.Millisecond
	maxLogExcerpt     = 3000 // bytes
	nestedLevels      = 50_000
)

// scriptState is the state of one script: its deployment and its calls by name.
type scriptState struct {
	dep   *deploy.Deployment
	calls map[string]*call
	kept  fasthttp.Client        // of calls that use one connection after another
	conns map[string][]*keptConn // of the command keep, by name
	sound []*call                // requests of the command mixed that crash no endpoint, in the order in which they were sent
}

type scriptStateKey struct{}

var optionName = regexp.MustCompile("^[a-z]+$")

func newScriptState(dir string) (*scriptState, error) {
	s, err := site.StartStandard()
	if err != nil {
		return nil, err
	}
	return &scriptState{dep: &deploy.Deployment{Site: s, Dir: dir, Bin: binDir}, calls: make(map[string]*call), conns: make(map[string][]*keptConn), kept: fasthttp.Client{DialTimeout: http1.Dial, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1}}, nil
}

// close stops the deployment. It returns an error if that fails or if the log of a
// relay contains a data race or a panic, recovered or not.
func (s *scriptState) close() error {
	errs := []error{s.dep.Stop()}
	for _, r := range s.dep.Relays {
		raw, err := os.ReadFile(r.LogFile)
		errs = append(errs, err)
		for _, text := range []string{"DATA RACE", "panic:", "fatal error:", "handler_panicked"} {
			if i := bytes.Index(raw, []byte(text)); i >= 0 {
				errs = append(errs, fmt.Errorf("%s: %s", r.Name, raw[i:min(i+maxLogExcerpt, len(raw))]))
			}
		}
	}
	return errors.Join(errs...)
}

// command is a command of a script. Words of the form key=value are options, the
// others are arguments.
type command struct {
	ts    *testscript.TestScript
	state *scriptState
	args  []string
	opts  map[string]string
}

// commands returns the commands of the script language by name. A command fails the
// script if it returns an error, or if it is negated with ! and returns none.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, f := range map[string]func(*command) error{
		"relay":    startRelay,
		"keeper":   startKeeper,
		"signal":   sendSignal,
		"ended":    awaitEnd,
		"settled":  checkSettled,
		"files":    limitFiles,
		"call":     makeCall,
		"begin":    startCall,
		"end":      finishCall,
		"raw":      sendRaw,
		"fault":    setFault,
		"limit":    limitRate,
		"load":     makeLoad,
		"most":     checkMostArrivals,
		"leaving":  sayLeaving,
		"closed":   closeEndpoint,
		"arrived":  checkArrived,
		"restart":  restartEndpoint,
		"again":    startAgain,
		"crash":    crashEndpoint,
		"refuse":   refuseConnections,
		"poison":   poisonPart,
		"mixed":    sendMixed,
		"stage":    startStage,
		"plain":    startPlain,
		"exposed":  checkExposures,
		"sound":    checkSound,
		"suspects": checkSuspects,
		"pace":     setPace,
		"speeds":   checkSpeeds,
		"shares":   checkShares,
		"engine":   startEngine,
		"leave":    drainUsed,
		"builds":   checkVersions,
		"pause":    pause,
		"state":    setState,
		"entry":    putStoreEntry,
		"drain":    drainZone,
		"publish":  publishConfig,
		"store":    failStore,
		"ran":      checkRan,
		"header":   checkHeader,
		"held":     checkRetained,
		"log":      awaitLog,
		"ready":    awaitReady,
		"count":    countLog,
		"set":      changeSettings,
		"trace":    checkTrace,
		"keep":     keepConns,
		"send":     sendOnConns,
		"answers":  checkAnswers,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			cmd := &command{ts: ts, state: ts.Value(scriptStateKey{}).(*scriptState), opts: make(map[string]string)}
			for _, w := range words {
				if k, v, ok := strings.Cut(w, "="); ok && optionName.MatchString(k) {
					cmd.opts[k] = v
					continue
				}
				cmd.args = append(cmd.args, w)
			}
			if err := f(cmd); (err != nil) != neg {
				ts.Fatalf("%s: negated: %v, error: %v", name, neg, err)
			}
		}
	}
	return out
}

// arg returns an argument and fails the script if it is missing.
func (cmd *command) arg(i int) string {
	if i >= len(cmd.args) {
		cmd.ts.Fatalf("argument %d is missing", i)
	}
	return cmd.args[i]
}

func (cmd *command) intArg(i int) int {
	n, err := strconv.Atoi(cmd.arg(i))
	cmd.ts.Check(err)
	return n
}

func (cmd *command) intOpt(name string) int {
	n, err := strconv.Atoi(cmd.opts[name])
	cmd.ts.Check(err)
	return n
}

// relay returns a relay by name and fails the script if there is none.
func (cmd *command) relay(name string) *deploy.Relay {
	r := cmd.state.dep.Relay(name)
	if r == nil {
		cmd.ts.Fatalf("no relay %q", name)
	}
	return r
}

// endpoint returns an endpoint by ID and fails the script if there is none.
func (cmd *command) endpoint(id string) *site.Endpoint {
	e := cmd.state.dep.Site.Endpoint(id)
	if e == nil {
		cmd.ts.Fatalf("no endpoint %q", id)
	}
	return e
}

// await polls ok until it returns true. what names the awaited condition in the
// error.
func await(what string, ok func() bool) error {
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(awaitPollInterval) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: not seen within %s", what, awaitTimeout)
}

// startRelay implements the command
//
//	relay NAME ZONE [ready=no]
//
// It starts a relay and, without ready=no, waits until it is ready.
func startRelay(cmd *command) error {
	r, err := cmd.state.dep.StartRelay(cmd.arg(0), cmd.arg(1))
	if err != nil || cmd.opts["ready"] == "no" {
		return err
	}
	return cmd.state.dep.AwaitReady(context.Background(), r)
}

// startKeeper implements the command
//
//	keeper NAME
//
// It starts a keeper on the host of all endpoints. Relays that are started later use it.
func startKeeper(cmd *command) error {
	_, err := cmd.state.dep.StartKeeper(cmd.arg(0), "127.0.0.1")
	return err
}

// awaitReady implements the command
//
//	ready NAME
//
// It waits until a relay is ready.
func awaitReady(cmd *command) error {
	return cmd.state.dep.AwaitReady(context.Background(), cmd.relay(cmd.arg(0)))
}

// sendSignal implements the command
//
//	signal NAME TERM|KILL|HUP|STOP|CONT
//
// It sends a signal to a relay or a keeper.
func sendSignal(cmd *command) error {
	sig := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "HUP": syscall.SIGHUP, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}[cmd.arg(1)]
	if k := cmd.state.dep.Keepers[cmd.arg(0)]; k != nil {
		return k.Proc().Signal(sig)
	}
	return cmd.relay(cmd.arg(0)).Proc().Signal(sig)
}

// limitFiles implements the command
//
//	files NAME N
//
// It limits the descriptors that a relay may open.
func limitFiles(cmd *command) error {
	var limit unix.Rlimit
	pid := cmd.relay(cmd.arg(0)).Proc().PID()
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return fmt.Errorf("read limit: %w", err)
	}
	limit.Cur = min(uint64(cmd.intArg(1)), limit.Max)
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// awaitEnd implements the command
//
//	ended NAME
//
// It waits for the end of a relay, which has to exit with status 0.
func awaitEnd(cmd *command) error { return cmd.relay(cmd.arg(0)).Proc().Wait(awaitTimeout) }

// changeSettings implements the command
//
//	set NAME KEY VALUE [raw=TEXT]
//
// It changes a key in the settings file of a relay or a keeper. The only value of the key store is
// "remote", the store's remote address. With the option raw it replaces
// the file by a text.
func changeSettings(cmd *command) error {
	if k := cmd.state.dep.Keepers[cmd.arg(0)]; k != nil {
		return cmd.changeKeeperSettings(k)
	}
	r := cmd.relay(cmd.arg(0))
	if text, ok := cmd.opts["raw"]; ok {
		return os.WriteFile(r.SettingsFile, []byte(text), 0o600)
	}
	switch cmd.arg(1) {
	case "retry.slack":
		r.Settings.Retry.Slack = float64(cmd.intArg(2))
	case "no_admission":
		r.Settings.Policy.NoAdmission = cmd.arg(2) == "true"
	case "schedule":
		r.Settings.Policy.Schedule = sets.Schedule(cmd.arg(2))
	case "zone":
		r.Settings.Zone = cmd.arg(2)
	case "store":
		r.Settings.Store = cmd.state.dep.Site.RemoteAddr
	default:
		return fmt.Errorf("no key %q", cmd.arg(1))
	}
	return r.WriteSettings()
}

// changeKeeperSettings changes a key in the settings file of a keeper.
func (cmd *command) changeKeeperSettings(k *deploy.Keeper) error {
	switch cmd.arg(1) {
	case "memory_bytes":
		k.Settings.MemoryBytes = int64(cmd.intArg(2))
	case "links":
		k.Settings.Links.Listen = cmd.arg(2)
	default:
		return fmt.Errorf("no key %q", cmd.arg(1))
	}
	return k.WriteSettings()
}

// setFault implements the command
//
//	fault ENDPOINT FAULT N
//
// It injects a fault into the next N responses of an endpoint.
func setFault(cmd *command) error {
	cmd.endpoint(cmd.arg(0)).InjectFault(site.Fault(cmd.arg(1)), cmd.intArg(2))
	return nil
}

// setPace implements the command
//
//	pace ENDPOINT PERCENT
//
// It makes an endpoint take PERCENT of the usual time for its work, and report it.
func setPace(cmd *command) error {
	cmd.endpoint(cmd.arg(0)).SetPace(cmd.intArg(1))
	return nil
}

// checkSpeeds implements the command
//
//	speeds RELAY PATTERN
//
// It waits until a line that wpctl prints of a relay's endpoints matches a pattern.
func checkSpeeds(cmd *command) error { return awaitOutput(cmd, "endpoints") }

// checkShares implements the command
//
//	shares RELAY PATTERN
//
// It waits until a line that wpctl prints of the pools a relay knows matches a pattern.
func checkShares(cmd *command) error { return awaitOutput(cmd, "shares") }

// crashEndpoint implements the command
//
//	crash ENDPOINT
//
// It ends an endpoint and its connections and leaves its store entry.
func crashEndpoint(cmd *command) error { return cmd.state.dep.Site.CrashEndpoint(cmd.arg(0)) }

// refuseConnections implements the command
//
//	refuse ENDPOINT
//
// It makes an endpoint refuse new connections.
func refuseConnections(cmd *command) error { return cmd.endpoint(cmd.arg(0)).Refuse() }

// setState implements the command
//
//	state ENDPOINT ready|draining|gone
//
// It writes the store entry of an endpoint, or removes it if the state is gone.
func setState(cmd *command) error {
	if cmd.arg(1) == "gone" {
		cmd.state.dep.Site.Deregister(cmd.arg(0))
		return nil
	}
	return cmd.state.dep.Site.Register(cmd.arg(0), cmd.arg(1))
}

// putStoreEntry implements the command
//
//	entry KEY FILE [address=ENDPOINT]
//
// It writes the bytes of a file to the store. With the option address the text
// ADDRESS is replaced by the address of an endpoint. The text NESTED is replaced by lists
// in lists.
func putStoreEntry(cmd *command) error {
	text := cmd.ts.ReadFile(cmd.arg(1))
	if id := cmd.opts["address"]; id != "" {
		text = strings.ReplaceAll(text, "ADDRESS", cmd.endpoint(id).Addr)
	}
	text = strings.ReplaceAll(text, "NESTED", strings.Repeat("[", nestedLevels)+strings.Repeat("]", nestedLevels))
	cmd.state.dep.Site.Store.Put(cmd.arg(0), []byte(text))
	return nil
}

// drainZone implements the command
//
//	drain ZONE [back]
//
// It drains a zone, or returns it to service.
func drainZone(cmd *command) error {
	if len(cmd.args) > 1 {
		cmd.state.dep.Site.RestoreZone(cmd.arg(0))
	} else {
		cmd.state.dep.Site.DrainZone(cmd.arg(0))
	}
	return nil
}

// publishConfig implements the command
//
//	publish VERSION [drop=PREFIX] [key=KEY] [slo=MS] [gap=MS] [timeout=MS] [head=BYTES] [idle=MS] [rename=SERVICE] [without=SERVICE]
//
// It writes a version of the standard configuration to the store, without the route
// of a prefix, with another API key, with another latency objective, maximum gap
// between events or timeout for all routes, or with another limit for headers or idle connections. rename
// gives a service a name that no endpoint has; without also drops it, and all routes that
// use it.
func publishConfig(cmd *command) error {
	cfg := site.StandardConfig(cmd.intArg(0))
	if k := cmd.opts["key"]; k != "" {
		cfg = site.StandardConfigWithKey(cmd.intArg(0), k)
	}
	for option, field := range map[string]string{"slo": "sloMs", "gap": "maxGapMs", "timeout": "timeoutMs"} {
		for _, r := range cfg["routes"].([]any) {
			if cmd.opts[option] != "" {
				r.(map[string]any)[field] = cmd.intOpt(option)
			}
		}
	}
	if cmd.opts["head"] != "" {
		cfg["limits"].(map[string]any)["maxHeaderBytes"] = cmd.intOpt("head")
	}
	if cmd.opts["idle"] != "" {
		site.SetIdleLimit(cfg, time.Duration(cmd.intOpt("idle"))*time.Millisecond)
	}
	if p := cmd.opts["drop"]; p != "" {
		cfg["routes"] = slices.DeleteFunc(cfg["routes"].([]any), func(r any) bool { return r.(map[string]any)["prefix"] == p })
	}
	if name := cmd.opts["without"]; name != "" {
		cfg["routes"] = slices.DeleteFunc(cfg["routes"].([]any), func(r any) bool { return uses(r.(map[string]any), name) })
		cfg["services"] = slices.DeleteFunc(cfg["services"].([]any), func(s any) bool { return s.(map[string]any)["name"] == name })
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if name := cmd.opts["rename"]; name != "" {
		raw = bytes.ReplaceAll(raw, []byte(strconv.Quote(name)), []byte(strconv.Quote(name+"-renamed")))
	}
	cmd.state.dep.Site.Store.Put(plat.ConfigKey, raw)
	return nil
}

// uses reports whether a route uses a service.
func uses(route map[string]any, service string) bool {
	if route["service"] == service {
		return true
	}
	stages, _ := route["stages"].([]any) // nil: it has none
	return slices.ContainsFunc(stages, func(s any) bool { return s.(map[string]any)["service"] == service })
}

// failStore implements the command
//
//	store up|busy|down|mute|compact|copy|restore|cut|join
//
// It ends an outage of the store (up), begins one (busy, down, mute), compacts the
// store's history, takes a copy, restores the copy that was taken last, cuts the
// store's remote address off, or ends that (join).
func failStore(cmd *command) error {
	switch cmd.arg(0) {
	case "up":
		cmd.state.dep.Site.Store.SetOutage(site.OutageNone)
	case "cut":
		cmd.state.dep.Site.CutRemote(true)
	case "join":
		cmd.state.dep.Site.CutRemote(false)
	case "compact":
		cmd.state.dep.Site.Store.Compact()
	case "copy":
		cmd.state.dep.Site.Store.Copy()
	case "restore":
		cmd.state.dep.Site.Store.Restore()
	default:
		cmd.state.dep.Site.Store.SetOutage(site.Outage(cmd.arg(0)))
	}
	return nil
}

// runsOf returns the runs of the request of a call, by endpoint.
func (cmd *command) runsOf(name string) map[string][]site.ExecutedRequest {
	out := make(map[string][]site.ExecutedRequest)
	for _, e := range cmd.state.dep.Site.Endpoints() {
		for _, req := range e.ExecutedRequests() {
			if req.AttemptID == name {
				out[e.ID] = append(out[e.ID], req)
			}
		}
	}
	return out
}

// checkRan implements the command
//
//	ran CALL N [on=PREFIX] [not=ENDPOINT]
//
// It checks that a request ran N times, on endpoints whose ID has a prefix, and not
// on a given endpoint.
func checkRan(cmd *command) error {
	runs := cmd.runsOf(cmd.arg(0))
	n := 0
	for id, list := range runs {
		n += len(list)
		if on := cmd.opts["on"]; on != "" && !strings.HasPrefix(id, on) {
			return fmt.Errorf("ran on %s", id)
		}
		if id == cmd.opts["not"] {
			return fmt.Errorf("ran on %s", id)
		}
	}
	if n != cmd.intArg(1) {
		return fmt.Errorf("ran %d times: %v", n, runs)
	}
	return nil
}

// checkHeader implements the command
//
//	header CALL NAME VALUE
//
// It checks a header that endpoints received with the request of a call. VALUE is a
// regular expression; it has to match "none" if the header is absent.
func checkHeader(cmd *command) error {
	runs := 0
	for id, list := range cmd.runsOf(cmd.arg(0)) {
		for _, req := range list {
			runs++
			got, ok := req.Headers[strings.ToLower(cmd.arg(1))]
			if !ok {
				got = "none"
			}
			matches, err := regexp.MatchString("^("+cmd.arg(2)+")$", got)
			if err != nil {
				return fmt.Errorf("expression %q: %w", cmd.arg(2), err)
			}
			if !matches {
				return fmt.Errorf("%s received %q", id, got)
			}
		}
	}
	if runs == 0 {
		return fmt.Errorf("%s did not run", cmd.arg(0))
	}
	return nil
}

// checkRetained implements the command
//
//	held N
//
// It waits until the endpoints of all stages retain N results in total.
func checkRetained(cmd *command) error {
	return await(fmt.Sprintf("%s retained results", cmd.arg(0)), func() bool {
		n := 0
		for _, e := range cmd.state.dep.Site.Endpoints() {
			n += e.NumResults()
		}
		return n == cmd.intArg(0)
	})
}

// awaitLog implements the command
//
//	log NAME PATTERN...
//
// It waits until a line of the log of a relay or a keeper matches all patterns.
func awaitLog(cmd *command) error {
	patterns := make([]*regexp.Regexp, 0, len(cmd.args))
	for _, expr := range cmd.args[1:] {
		patterns = append(patterns, regexp.MustCompile(expr))
	}
	what := fmt.Sprintf("log line of %s that matches %q", cmd.arg(0), cmd.args[1:])
	return await(what, func() bool { return cmd.countLogLines(cmd.arg(0), patterns) > 0 })
}

// countLog implements the command
//
//	count NAME N PATTERN...
//
// It checks that exactly N lines of a relay's log match all patterns.
func countLog(cmd *command) error {
	patterns := make([]*regexp.Regexp, 0, len(cmd.args))
	for _, expr := range cmd.args[2:] {
		patterns = append(patterns, regexp.MustCompile(expr))
	}
	if n := cmd.countLogLines(cmd.arg(0), patterns); n != cmd.intArg(1) {
		return fmt.Errorf("%d lines match", n)
	}
	return nil
}

// logFile returns the log of a relay or a keeper.
func (cmd *command) logFile(name string) string {
	if k := cmd.state.dep.Keepers[name]; k != nil {
		return k.LogFile
	}
	return cmd.relay(name).LogFile
}

// countLogLines returns the number of lines of the log of a relay or a keeper that match all
// patterns.
func (cmd *command) countLogLines(name string, patterns []*regexp.Regexp) int {
	raw, err := os.ReadFile(cmd.logFile(name))
	cmd.ts.Check(err)
	n := 0
lines:
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		for _, p := range patterns {
			if !p.Match(line) {
				continue lines
			}
		}
		n++
	}
	return n
}
