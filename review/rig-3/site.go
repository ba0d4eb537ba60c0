package main

// This file defines a small deployment: the project's programs as processes, with the commands of
// deploy/system.toml, and requesters.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The queue that requesters use.
const (
	service  = "balanceo"
	hostName = "nony24.example"
	prefix   = "/lohu930/"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %-10s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// fail ends a case that couldn't run. The processes that were started end with this one.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

// process is a program of the deploy file on a machine of its own.
type process struct {
	name    string
	args    []string
	log     *recorder
	dir     string
	started int
	cmd     *exec.Cmd
}

func (p *process) start() {
	p.started++
	out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.started)))
	if err != nil {
		fail("%v", err)
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		fail("cannot start %s (was the build of the deploy file run?): %v", p.name, err)
	}
	_ = out.Close() // the process has it
	p.log.note(p.name, "process starts")
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.log.note(p.name, "process killed")
}

type gateway struct {
	process
	front string
}

type site struct {
	log         *recorder
	dir         string // temporary
	store       *store
	fleet       *fleet
	gateways    []*gateway
	supervisors []*process
	workers     []*worker
	next        uint64 // number of the next submission
	nextMu      sync.Mutex
	client      *http.Client
}

// freePorts returns free addresses on an IP.
func freePorts(ip string, count int) []string {
	var out []string
	for range count {
		l, address := listen(ip)
		defer l.Close()
		out = append(out, address)
	}
	return out
}

// newSite starts the store, the gateways, and a supervisor and a worker for each list of labels.
// Each machine has a loopback address of its own.
func newSite(log *recorder, gateways int, labels [][]string, attempts int) *site {
	dir, err := os.MkdirTemp("", "pvalve-review-")
	if err != nil {
		fail("%v", err)
	}
	s := &site{log: log, dir: dir, store: newStore(log), fleet: newFleet(log), client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	s.store.put("keyed.op", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "q1", "host": hostName, "pathPrefix": prefix, "service": service, "targetLatencyMs": 500, "priority": 0, "attempts": attempts, "deadlineFactor": 2}},
		"services": []map[string]any{{"name": service, "admissionCheck": false}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 262144},
	})
	zones := []string{"sur-mvd", "sur-cnl", "norte-riv"}
	for i := range gateways {
		ip := fmt.Sprintf("127.31.1.%d", i+1)
		ports := freePorts(ip, 4)
		name := fmt.Sprintf("edge-%s-1", zones[i%len(zones)])
		s.gateways = append(s.gateways, &gateway{front: ports[0], process: process{name: name, log: log, dir: dir, args: []string{
			"target/pvalve-gateway", "--node", name, "--front-address", ports[0], "--ready-address", ports[1], "--link-address", ports[2],
			"--store-address", s.store.address, "--cores", "0.4", "--memory-mb", "284", "--keep-ended", "120s", "--max-lease", "10000ms",
			"--stop-time", "900ms", "--restore-time", "600ms", "--evacuate-within", "0s", "--grace", "6s", "--admin-address", ports[3],
		}}})
	}
	for i, l := range labels {
		ip := fmt.Sprintf("127.31.2.%d", i+1)
		ports := freePorts(ip, 3)
		name := fmt.Sprintf("side-%s-%d", zones[i%len(zones)], i/len(zones)+1)
		w := newWorker(s.fleet, fmt.Sprintf("worker-%d", i+1), fmt.Sprintf("i-7f3a91c%d", i+1), ip, zones[i%len(zones)], l, 32)
		w.control = ports[0]
		s.workers = append(s.workers, w)
		s.supervisors = append(s.supervisors, &process{name: name, log: log, dir: dir, args: []string{
			"target/pvalve-supervisor", "--node", name, "--region", "sur", "--control-address", ports[0], "--link-address", ports[1],
			"--worker-address", w.address, "--store-address", s.store.address, "--memory-mb", "152", "--grace", "6s", "--admin-address", ports[2],
		}})
	}
	for _, g := range s.gateways {
		g.start()
	}
	for _, p := range s.supervisors {
		p.start()
	}
	for _, w := range s.workers {
		w.start(time.Now())
	}
	return s
}

func (s *site) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, p := range s.supervisors {
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

type phase struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemoryMB      int64  `json:"memMb"`
	EstimateMS    int64  `json:"estimateMs,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Persistent    bool   `json:"persistent,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
}

type job struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
}

// answer is the response to one call; status 0 stands for none.
type answer struct {
	status     int
	state      string
	retryAfter time.Duration
}

func (s *site) call(gateway int, method, id string, body []byte) answer {
	g := s.gateways[gateway%len(s.gateways)]
	request, err := http.NewRequest(method, "http://"+g.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Time-Remaining", "2900")
	resp, err := s.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	out := answer{status: resp.StatusCode}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		out.retryAfter = time.Duration(seconds) * time.Second
	}
	var fields struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &fields) == nil {
		out.state = fields.State
	}
	return out
}

// Behaviour of requesters, as in the sheet of the site.
const (
	maxRetries  = 4
	timeBudget  = 3 * time.Second
	retryPause  = 600 * time.Millisecond
	stateBudget = 3 * time.Second
)

// newID returns the id of the next submission, and registers it with the fleet.
func (s *site) newID(j job) string {
	s.nextMu.Lock()
	s.next++
	id := fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+s.next)
	s.nextMu.Unlock()
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = j
	s.fleet.mu.Unlock()
	return id
}

// submit hands a submission in, with a requester's retries at other nodes, and reports its id and
// whether it was accepted.
func (s *site) submit(gateway int, j job) (id string, accepted bool) {
	id = s.newID(j)
	body, err := json.Marshal(j)
	if err != nil {
		fail("%v", err)
	}
	end := time.Now().Add(timeBudget)
	var tries []string
	for try := 0; try <= maxRetries && time.Now().Before(end); try++ {
		a := s.call(gateway+try, http.MethodPost, id, body)
		tries = append(tries, strconv.Itoa(a.status))
		if a.status == http.StatusOK {
			accepted = true
			break
		}
		time.Sleep(max(retryPause, a.retryAfter))
	}
	s.log.note("requester", "POST %s: %s", id, strings.Join(tries, " "))
	return id, accepted
}

// mustSubmit hands a submission in until it is accepted.
func (s *site) mustSubmit(j job) string {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		if id, accepted := s.submit(0, j); accepted {
			return id
		}
	}
	fail("no submission was accepted within 15 s of the start")
	return ""
}

// state asks for the state of a submission at one node after the other, for up to stateBudget.
func (s *site) state(id string) answer {
	var a answer
	for try, end := 0, time.Now().Add(stateBudget); time.Now().Before(end); try++ {
		if a = s.call(try, http.MethodGet, id, nil); a.status == http.StatusOK || a.status == http.StatusGone {
			return a
		}
		time.Sleep(retryPause / 3)
	}
	return a
}

// awaitState waits until a submission is shown in a state.
func (s *site) awaitState(id, want string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.state(id).state == want {
			return true
		}
	}
	return false
}
