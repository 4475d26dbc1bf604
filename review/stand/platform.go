package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// Bounds of the settings, as those of the site pedralisa-auburnstep.
const (
	contactWindow = 3 * time.Second
	drainBound    = 2 * time.Second
	heartbeat     = 1200 * time.Millisecond
	// restartDelay is how long a killed process is down.
	restartDelay = 500 * time.Millisecond
	startTimeout = 20 * time.Second
)

// stand is a small deployment with its platform.
type stand struct {
	*record
	trouble bool
	dir     string
	root    string // of the repository
	prefix  string // first two bytes of all loopback addresses
	port    int    // first of the ports that all machines use
	members []*process
	entries []*process
	http    *http.Client

	mu       sync.Mutex
	replicas []*replica
}

// process is one instance of the daemon.
type process struct {
	stand  *stand
	name   string
	ip     string
	member bool
	seeds  []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	hasRun bool
}

func newStand(r *record) (*stand, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "auburnstepd")); err != nil {
		return nil, fmt.Errorf("run this in the repository after the build of the deploy file: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stand{
		record: r, root: root, dir: dir, prefix: fmt.Sprintf("127.%d", 2+rand.IntN(250)), port: 20000 + 100*rand.IntN(100),
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	return s, nil
}

func (s *stand) ip(net, host int) string { return fmt.Sprintf("%s.%d.%d", s.prefix, net, host) }

// Ports of the daemons, the same on all machines.
func (s *stand) front() int     { return s.port }
func (s *stand) ready() int     { return s.port + 1 }
func (s *stand) control() int   { return s.port + 2 }
func (s *stand) directory() int { return s.port + 3 }
func (s *stand) peer() int      { return s.port + 10 }

// prepare defines control members and entries.
func (s *stand) prepare(members, entries int) {
	var seeds []string
	for i := range members {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(10, i+1), s.control()))
	}
	for i := range members {
		s.members = append(s.members, &process{stand: s, name: fmt.Sprintf("core-%d", i+1), ip: s.ip(10, i+1), member: true, seeds: seeds})
	}
	for i := range entries {
		s.entries = append(s.entries, &process{stand: s, name: fmt.Sprintf("front-%d", i+1), ip: s.ip(20, i+1), seeds: seeds})
	}
}

// start defines and starts control members and entries.
func (s *stand) start(members, entries int) error {
	s.prepare(members, entries)
	for _, p := range append(append([]*process{}, s.members...), s.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all entries are ready.
func (s *stand) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, p := range s.entries {
		for !p.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (p *process) isReady() bool {
	resp, err := p.stand.http.Get(fmt.Sprintf("http://%s:%d/auburnstep/ready", p.ip, p.stand.ready()))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) settings() string {
	s := p.stand
	listen := fmt.Sprintf("{front: \"%s:%d\", ready: \"%s:%d\"}", p.ip, s.front(), p.ip, s.ready())
	data, class, serves, memory := "null", "front", `["front"]`, 134
	if p.member {
		listen = fmt.Sprintf("{control: \"%s:%d\", directory: \"%s:%d\"}", p.ip, s.control(), p.ip, s.directory())
		data, class, serves, memory = fmt.Sprintf("%q", filepath.Join(s.dir, p.name)), "core", `["control", "dir"]`, 280
	}
	return fmt.Sprintf(`node: %q
role: %q
class: %q
serves: %s
ip: %q
zone: "sul-caxias"
region: "sul"
zones: {sul-caxias: "sul"}
listen: %s
portRange: [%d, %d]
seeds: ["%s"]
bootstrap: %v
inTolerance: %v
limits: {cpuShare: 0.96, cores: 1, memoryMb: %d, maxFds: 4096, linkMbps: 1000.0, diskMb: 128}
dataDir: %s
discovery: "registry"
entry: "dir"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
tolerate: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactWindowMs: 3000, ackMs: 4000, catchupS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, skewMaxMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, recoverS: 12, passMs: 120, retryAfterS: 6.3, ttl_max_s: 5}
configMode: "highest"
`, p.name, class, class, serves, p.ip, listen, s.peer(), s.peer()+15, strings.Join(p.seeds, `", "`), !p.hasRun, p.member, memory, data, heartbeat.Milliseconds())
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := filepath.Join(p.stand.dir, p.name+".yaml")
	if err := os.WriteFile(settings, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.stand.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/auburnstepd", "platform")
	cmd.Dir = p.stand.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNSTEP_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel ends the process if this program ends first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited, p.hasRun = cmd, make(chan struct{}), true
	go func(exited chan struct{}) {
		_ = cmd.Wait() // A killed process has no other result.
		close(exited)
	}(p.exited)
	p.stand.add("platform: %s started", p.name)
	return nil
}

// signal sends a signal to the process by its id.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // It may have ended already.
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (s *stand) close() {
	s.mu.Lock()
	replicas := s.replicas
	s.mu.Unlock()
	for _, r := range replicas {
		r.exit()
	}
	for _, p := range append(append([]*process{}, s.entries...), s.members...) {
		p.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir) // A leftover in the temporary folder is harmless.
}

// memberAt returns the member at a control address.
func (s *stand) memberAt(address string) *process {
	host, _, _ := net.SplitHostPort(address)
	for _, m := range s.members {
		if m.ip == host {
			return m
		}
	}
	return nil
}

func (s *stand) controlAddresses() []string {
	var out []string
	for _, m := range s.members {
		out = append(out, fmt.Sprintf("%s:%d", m.ip, s.control()))
	}
	return out
}

// call sends a call to one control address and returns status and body.
func (s *stand) call(method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// putConfig sends a desired state to random members until it is acknowledged.
func (s *stand) putConfig(version int, state map[string]any) error {
	state["version"] = version
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range rand.Perm(len(s.members)) {
			status, _, err := s.call(http.MethodPut, s.controlAddresses()[i], "/auburnstep/config", body)
			if err == nil && status == http.StatusOK {
				s.add("operator: version %d acknowledged by %s", version, s.members[i].name)
				return nil
			}
			if err == nil && status >= 400 && status < 500 {
				return fmt.Errorf("version %d is refused with %d", version, status)
			}
		}
	}
	return errors.New("the desired state was not acknowledged")
}
