//go:build reviewrig

package main

// This file defines a small site: the store, two gateways, workers with one supervisor each,
// and the audit of what workers ran.

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the configuration.
const (
	queueHost    = "nony24.example"
	firstPrefix  = "/lohu930/"
	secondPrefix = "/pufi791/"
	firstService = "huvo11a"
)

// process is one program of the deploy file, or none while it is down.
type process struct {
	node    string
	program string
	args    []string
	command *exec.Cmd
	exited  chan struct{}
}

type gatewayProcess struct {
	process
	front string
}

type site struct {
	rec       *record
	directory string // temporary
	storeAddr string
	store     *store
	gateways  []*gatewayProcess
	// supervisorLead is the time from the start of a supervisor to that of its worker.
	supervisorLead time.Duration
	workers        []*worker

	mu        sync.Mutex
	processes []*process
	spans     []*runSpan
	gangs     map[string][]gangMember // by submission, occurrence, step and attempt
}

type gangMember struct {
	worker *worker
	run    *activeRun
	boot   int
}

// Ports of the machines, the same on all of them.
const (
	linkPort    = 7720
	frontPort   = 8161
	workerPort  = 8165
	controlPort = 8166
	readyPort   = 8167
	storePort   = 8169
	proxyPort   = 8170
	adminPort   = 9464
)

// Numbers of the machines.
const (
	storeMachine = 1
	firstEdge    = 10 // less one
	firstSide    = 50 // less one
)

// address returns an address of a machine. Each machine has a loopback address of its own,
// and so has each site that runs at the same time.
func (s *site) address(machine, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/250%250, 1+pid%250, machine, port)
}

func newSite(rec *record) (*site, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, directory: directory, gangs: map[string][]gangMember{}}
	s.storeAddr = s.address(storeMachine, storePort)
	l, err := net.Listen("tcp", s.storeAddr)
	if err != nil {
		return nil, err
	}
	s.store = newStore(l)
	return s, nil
}

// close ends all processes that the site started.
func (s *site) close() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.directory)
	}
}

// run starts the program of a process. Its output goes to a file of the temporary folder.
func (s *site) run(p *process) error {
	output, err := os.OpenFile(filepath.Join(s.directory, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(p.program, p.args...)
	command.Stdout, command.Stderr = output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.directory, "LANG=C.UTF-8"}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.exited)
	s.mu.Lock()
	s.processes = append(s.processes, &process{node: p.node, command: p.command, exited: p.exited})
	s.mu.Unlock()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.exited
}

// addGateway starts a gateway with the command of the deploy file.
func (s *site) addGateway(n int) error {
	at := func(port int) string { return s.address(firstEdge+n, port) }
	g := &gatewayProcess{front: at(frontPort)}
	g.node, g.program = fmt.Sprintf("edge-sur-mvd-%d", n), "target/pvalve-gateway"
	g.args = []string{
		"--node", g.node, "--front-address", g.front, "--ready-address", at(readyPort), "--link-address", at(linkPort),
		"--store-address", s.storeAddr, "--cores", "0.4", "--keep-ended", "120s", "--grace", "6s", "--admin-address", at(adminPort),
	}
	s.gateways = append(s.gateways, g)
	return s.run(&g.process)
}

// addWorker starts a supervisor with the command of the deploy file, and its worker. The
// worker sends its check-ins to the control address, or through a proxy to it.
func (s *site) addWorker(n int, id, service, rack string, cpu, mem int, p *proxy) (*worker, *process, error) {
	at := func(port int) string { return s.address(firstSide+n, port) }
	control, app := at(controlPort), at(workerPort)
	supervisor := &process{node: fmt.Sprintf("side-sur-mvd-%d", n), program: "target/pvalve-supervisor"}
	supervisor.args = []string{
		"--node", supervisor.node, "--region", "sur", "--control-address", control, "--link-address", at(linkPort),
		"--worker-address", app, "--store-address", s.storeAddr, "--grace", "6s", "--admin-address", at(adminPort),
	}
	if err := s.run(supervisor); err != nil {
		return nil, nil, err
	}
	time.Sleep(s.supervisorLead)
	if p != nil {
		p.serve(at(proxyPort), control)
		control = at(proxyPort)
	}
	w := &worker{site: s, address: app, control: control, service: service, rack: rack, cpu: cpu, mem: mem}
	s.workers = append(s.workers, w)
	return w, supervisor, w.start(id)
}

// route is a queue of the configuration.
func route(name, prefix, service string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
		"targetLatencyMs": 1000, "priority": priority, "service": service, "attempts": 4, "deadlineFactor": 2.0,
	}
}

// configure writes a configuration as the operator does.
func (s *site) configure(version int, routes ...map[string]any) {
	services := []map[string]any{}
	seen := map[any]bool{}
	for _, r := range routes {
		if name := r["service"]; !seen[name] {
			seen[name] = true
			services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false})
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.put("keyed.op", "config", data)
	s.rec.addf("the operator writes configuration %d", version)
}

// started and ended are the audit of runs.
func (s *site) started(key runKey, workerID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, &runSpan{runKey: key, worker: workerID, startedAt: time.Now()})
	s.rec.addf("run %s#%d starts on %s", key.task, key.attempt, workerID)
}

func (s *site) ended(key runKey, workerID, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.spans {
		if r.runKey == key && r.worker == workerID && r.endedAt.IsZero() {
			r.endedAt, r.how = time.Now(), how
		}
	}
	s.rec.addf("run %s#%d ends on %s: %s", key.task, key.attempt, workerID, how)
}

// runsOf returns the runs of the tasks with a prefix.
func (s *site) runsOf(prefix string) []runSpan {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []runSpan
	for _, r := range s.spans {
		if strings.HasPrefix(r.task, prefix) {
			out = append(out, *r)
		}
	}
	return out
}

// goingOn returns the runs of the tasks with a prefix that go on.
func (s *site) goingOn(prefix string) []runSpan {
	var out []runSpan
	for _, r := range s.runsOf(prefix) {
		if r.endedAt.IsZero() {
			out = append(out, r)
		}
	}
	return out
}

// await waits until a condition holds.
func (s *site) await(what string, limit time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// joinGang adds a started member to its gang. The members work from when all are present,
// and end together. A member that waits for too long ends alone. The caller holds the
// worker's lock.
func (s *site) joinGang(w *worker, r *activeRun, members int, runTime time.Duration) {
	name := fmt.Sprintf("%s#%d", r.task[:strings.LastIndexByte(r.task, '.')], r.attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gangs[name] = append(s.gangs[name], gangMember{w, r, w.boot})
	if present := s.gangs[name]; len(present) == members {
		time.AfterFunc(runTime, func() {
			for _, m := range present {
				m.worker.mu.Lock()
				if m.worker.boot == m.boot {
					m.worker.endRun(m.run, "done")
				}
				m.worker.mu.Unlock()
			}
		})
		return
	}
	boot := w.boot
	time.AfterFunc(gangTimeout, func() {
		s.mu.Lock()
		complete := len(s.gangs[name]) == members
		s.mu.Unlock()
		w.mu.Lock()
		defer w.mu.Unlock()
		if !complete && w.boot == boot {
			w.endRun(r, "alone")
		}
	})
}
