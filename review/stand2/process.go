package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// All processes use the same ports; each has its own loopback address.
const (
	frontPort, readyPort       = 18740, 18749
	controlPort, directoryPort = 18748, 18746
	firstPort, lastPort        = 17200, 17215
)

// process is one machine of the system and its process.
type process struct {
	s        *stand
	name, ip string
	isMember bool
	seeds    []string
	memoryMB int
	dir      string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	hasRun  bool
	kills   int  // for memory over the limit
	stopped bool // by the case
	peakKB  int
}

func (s *stand) addProcess(name string, member bool, ip string, seeds []string, memoryMB int) *process {
	p := &process{s: s, name: name, ip: ip, isMember: member, seeds: seeds, memoryMB: memoryMB, dir: filepath.Join(s.dir, name)}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p
}

// settings returns the settings file of DEPLOY.md with the figures of a small installation.
func (p *process) settings() string {
	class, serves, listen, data, cpu, disk := "front", "front", fmt.Sprintf("{front: \"%s:%d\", ready: \"%s:%d\"}", p.ip, frontPort, p.ip, readyPort), "null", "0.4", 0
	if p.isMember {
		class, serves, cpu, disk = "core", "control, dir", "0.96", 128
		listen = fmt.Sprintf("{control: \"%s:%d\", directory: \"%s:%d\"}", p.ip, controlPort, p.ip, directoryPort)
		data = strconv.Quote(filepath.Join(p.dir, "data"))
	}
	return fmt.Sprintf(`node: %q
role: "%s"
class: %q
serves: [%s]
ip: %q
zone: "nord-a"
region: "nord-ovest"
zones: {nord-a: "nord-ovest"}
listen: %s
portRange: [%d, %d]
seeds: ["%s"]
bootstrap: %v
inTolerance: %v
limits: {cpuShare: %s, cores: 1, memoryMb: %d, maxFds: 4096, linkMbps: 1000.0, diskMb: %d}
dataDir: %s
discovery: "registry"
entry: "dir"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
tolerate: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactWindowMs: 3000, ackMs: 4000, catchupS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, skewMaxMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, recoverS: 12, passMs: 120, retryAfterS: 9, ttl_max_s: 5}
configMode: "highest"
`, p.name, class, class, serves, p.ip, listen, firstPort, lastPort, strings.Join(p.seeds, `", "`), !p.hasRun, p.isMember, cpu, p.memoryMB, disk, data)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o755); err != nil {
		return err
	}
	path := filepath.Join(p.dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(p.settings()), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.s.binary, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNSTEP_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.hasRun = cmd, exited, true
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// signal sends a signal to the process by its id.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memoryKB returns the resident memory of the process, 0 if it does not run.
func (p *process) memoryKB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return n
		}
	}
	return 0
}

// diskKB returns the size of the files in the data directory.
func (p *process) diskKB() (kb int64) {
	_ = filepath.Walk(filepath.Join(p.dir, "data"), func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			kb += info.Size() / 1024
		}
		return nil
	})
	return kb
}

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// supervise does what the platform does for a machine until stop is closed: it kills the process
// if it uses more memory than its limit, and restarts it when it has ended.
func (p *process) supervise(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		kb := p.memoryKB()
		p.mu.Lock()
		p.peakKB = max(p.peakKB, kb)
		p.mu.Unlock()
		if kb > p.memoryMB<<10 {
			p.s.note("%s uses %d MB of %d MB and is killed", p.name, kb>>10, p.memoryMB)
			p.kill()
			p.mu.Lock()
			p.kills++
			p.mu.Unlock()
		}
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if !p.running() && !stopped {
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				p.s.note("%s: %v", p.name, err)
			}
		}
	}
}

func (s *stand) stopAll() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		p.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, p := range processes {
			if b, err := os.ReadFile(filepath.Join(p.dir, "log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), b, 0o644)
			}
		}
	}
}
