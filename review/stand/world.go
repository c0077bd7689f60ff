package main

import (
	"bufio"
	"context"
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
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one deployment: stand-ins in this process, and the project's entry instances as processes.
type world struct {
	rec     *record
	trouble bool
	// starts takes the starts of processes.
	starts   chan func()
	dir      string
	store    *store
	mu       sync.Mutex // guards the fields below
	lives    int
	machines []*machine
	workers  []*worker
	runs     []*taskRun
	entries  []*entry
	servers  []*http.Server
	owners   map[string]string
	events   map[int]int
	next     int
	net      string
	jobs     map[string]submission
	gangs    map[string]*gang
	storeAt  string
	cloudAt  string
}

func newWorld(rec *record, trouble bool) *world {
	wd := &world{rec: rec, trouble: trouble, store: newStore(rec), starts: make(chan func()), jobs: map[string]submission{}, gangs: map[string]*gang{}, owners: map[string]string{}, events: map[int]int{}}
	go wd.startProcesses()
	return wd
}

// startProcesses starts processes on a thread that lives as long as this process, so that they end with it even if it is killed: the signal for
// that is sent when the thread ends that has started them.
func (wd *world) startProcesses() {
	runtime.LockOSThread()
	for start := range wd.starts {
		start()
	}
}

// began notes that a run begins.
func (wd *world) began(tr *taskRun) {
	wd.mu.Lock()
	wd.runs = append(wd.runs, tr)
	wd.mu.Unlock()
	wd.rec.add("%s starts %s attempt %d", tr.worker, tr.task, tr.attempt)
}

// serve starts a stand-in on a free loopback port and returns its address.
func (wd *world) serve(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	wd.mu.Lock()
	wd.servers = append(wd.servers, srv)
	wd.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// deployment says how many machines of which pool and how many entry instances a case has.
type deployment struct {
	zones   []string
	entries []int
	pools   []string
	// machines is the number of machines of each pool, which the zones have in turn.
	machines int
}

// smallDeployment has six entry instances in three zones and nine workers a pool, like the small deployments of the users' pages.
var smallDeployment = deployment{zones: []string{"hall-a", "hall-b", "hall-c"}, entries: []int{3, 2, 1}, pools: []string{"books", "orders"}, machines: 9}

// start starts the stand-ins and the entry instances, and waits until all of them are ready.
func (wd *world) start(dp deployment, configuration any) error {
	var err error
	if wd.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if wd.net, err = freeNet(); err != nil {
		return err
	}
	if wd.storeAt, err = wd.serve(wd.store); err != nil {
		return err
	}
	if wd.cloudAt, err = wd.serve(machineService{wd}); err != nil {
		return err
	}
	if err := wd.configure(configuration); err != nil {
		return err
	}
	for pool, name := range dp.pools {
		for at := range dp.machines {
			mc := &machine{name: fmt.Sprintf("m-%d%02d", pool, at), pool: name, zone: dp.zones[at%len(dp.zones)], rack: fmt.Sprintf("r%d-%d", pool, at/4), state: "up", cpu: 16000, mem: 32768}
			wd.mu.Lock()
			wd.machines = append(wd.machines, mc)
			wd.mu.Unlock()
			if err := wd.startWorker(mc); err != nil {
				return err
			}
		}
	}
	for zone, count := range dp.entries {
		for range count {
			if err := wd.addEntry(dp, dp.zones[zone]); err != nil {
				return err
			}
		}
	}
	for _, en := range wd.entries {
		if err := en.launch(); err != nil {
			return err
		}
	}
	return wd.awaitReady(20 * time.Second)
}

// configure writes the operator's configuration.
func (wd *world) configure(configuration any) error {
	raw, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	wd.store.put(place{"op", "", "config"}, raw)
	wd.rec.add("operator writes op/config: %s", raw)
	return nil
}

// awaitReady waits until every entry instance that runs says that it is ready.
func (wd *world) awaitReady(patience time.Duration) error {
	for deadline := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		missing := ""
		for _, en := range wd.entries {
			if en.running() && !en.ready() {
				missing = en.name
			}
		}
		if missing == "" {
			wd.rec.add("all entry instances are ready")
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready", missing)
		}
	}
}

// stop ends all processes and stand-ins.
func (wd *world) stop() {
	wd.mu.Lock()
	entries, servers, workers := wd.entries, wd.servers, wd.workers
	wd.mu.Unlock()
	for _, en := range entries {
		en.kill()
	}
	for _, wk := range workers {
		_ = wk.server.Close()
	}
	for _, srv := range servers {
		_ = srv.Close()
	}
	if wd.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wd.dir)
	}
}

// entry is one entry instance: a process of the project with its settings.
type entry struct {
	wd       *world
	name     string
	ip       string
	settings string
	client   *http.Client
	mu       sync.Mutex // guards the fields below
	cmd      *exec.Cmd
	done     chan struct{}
}

// Ports of the entry instances, which each have a loopback address of their own.
const (
	frontPort   = 18624
	readyPort   = 18622
	controlPort = 18623
	rangePort   = 17060
)

// freeNet returns the first three numbers of loopback addresses on which the ports of entry instances are free.
func freeNet() (string, error) {
	for range 50 {
		name := fmt.Sprintf("127.%d.%d", 40+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, rangePort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", name, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return name, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// addEntry adds an entry instance and writes its settings.
func (wd *world) addEntry(dp deployment, zone string) error {
	wd.next++
	en := &entry{wd: wd, name: fmt.Sprintf("edge-%s-%d", zone, wd.next), ip: fmt.Sprintf("%s.%d", wd.net, wd.next)}
	en.client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var sb strings.Builder
	fmt.Fprintf(&sb, "node_name=%s\nrole=entry\nmachine_class=edge\nserves=edge,control\nip=%s\nzone=%s\nregion=region-1\n", en.name, en.ip, zone)
	for _, name := range dp.zones {
		fmt.Fprintf(&sb, "zones.%s=region-1\n", name)
	}
	fmt.Fprintf(&sb, "listen.frontend=%s:%d\nlisten.ready=%s:%d\nlisten.control_plane=%s:%d\nport_range=%d,%d\n", en.ip, frontPort, en.ip, readyPort, en.ip, controlPort, rangePort, rangePort+15)
	fmt.Fprintf(&sb, "seeds=%s.1:%d\nbootstrap=true\nfault_counted=false\n", wd.net, controlPort)
	fmt.Fprintf(&sb, "limits.cpu_share=0.4\nlimits.cores=1\nlimits.memory_mb=284\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\n")
	fmt.Fprintf(&sb, "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\nfault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n")
	fmt.Fprintf(&sb, "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.revert_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.recovery_s=12\nbounds.hold_max_ms=10000\nbounds.stop_ms=400\nbounds.gang_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.remote_factor=2\nbounds.save_s=0.5\nbounds.restore_ms=100\nbounds.notice_ms=4500\nbounds.move_s=1.5\nbounds.maintenance_s=2\nbounds.fencing_enforced=true\nbounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\ncommands=invoke\n")
	fmt.Fprintf(&sb, "platform.address=%s\nplatform.form=table\nplatform.writes_per_s=600\nplatform.reads_per_s=2000\nplatform.tx_ms=3.0\nplatform.part_writes_per_s=300\nplatform.row_bytes=%d\nplatform.cross_shard=true\nplatform.history_s=20\n", wd.storeAt, storeRowBytes)
	fmt.Fprintf(&sb, "cloud_api.address=%s\ncloud_api.rate_per_s=64.0\ncloud_api.duties=\ncloud_api.duty_per_s=64.0\n", wd.cloudAt)
	en.settings = filepath.Join(wd.dir, en.name+".conf")
	if err := os.WriteFile(en.settings, []byte(sb.String()), 0o600); err != nil {
		return err
	}
	wd.mu.Lock()
	wd.entries = append(wd.entries, en)
	wd.mu.Unlock()
	return nil
}

// launch starts the process with the command of the deploy file.
func (en *entry) launch() error {
	cmd := exec.Command("target/aspenseam", "serve", "--cells", "deploy/cells.jsonc")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ASPENSEAM_SETTINGS=" + en.settings}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	en.wd.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	done := make(chan struct{})
	en.mu.Lock()
	en.cmd, en.done = cmd, done
	en.mu.Unlock()
	en.wd.rec.add("entry instance %s starts as process %d", en.name, cmd.Process.Pid)
	log, err := os.OpenFile(filepath.Join(en.wd.dir, en.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	go func() {
		en.readLog(io.TeeReader(out, log))
		_ = cmd.Wait()
		_ = log.Close()
		en.wd.rec.add("process %d of %s has ended", cmd.Process.Pid, en.name)
		close(done)
	}()
	return nil
}

// Numbers of log lines, see docs/EVENTS.md.
const (
	eventCellClaimed    = 809
	eventJobGivenUp     = 839
	eventSaveImpossible = 848
)

// readLog follows the log of the process: who owns which cell, and which events there were.
func (en *entry) readLog(out io.Reader) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line struct {
			Event int    `json:"event"`
			Cell  string `json:"cell"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			en.wd.rec.add("%s writes: %s", en.name, scanner.Text())
			continue
		}
		en.wd.mu.Lock()
		en.wd.events[line.Event]++
		if line.Event == eventCellClaimed {
			en.wd.owners[line.Cell] = en.name
		}
		en.wd.mu.Unlock()
		switch line.Event {
		case eventCellClaimed, eventJobGivenUp, eventSaveImpossible:
			en.wd.rec.add("%s logs: %s", en.name, scanner.Text())
		}
	}
}

// owner returns the entry instance that claimed a cell last.
func (wd *world) owner(cell string) *entry {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for _, en := range wd.entries {
		if en.name == wd.owners[cell] {
			return en
		}
	}
	return nil
}

func (en *entry) running() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.cmd == nil {
		return false
	}
	select {
	case <-en.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (en *entry) signal(sg syscall.Signal) {
	if !en.running() {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.wd.rec.add("%s gets signal %v", en.name, sg)
	_ = en.cmd.Process.Signal(sg)
}

// kill ends the process at once and waits for its end.
func (en *entry) kill() {
	if !en.running() {
		return
	}
	en.signal(syscall.SIGKILL)
	en.mu.Lock()
	done := en.done
	en.mu.Unlock()
	<-done
}

// ready reports whether the platform's question is answered with 200.
func (en *entry) ready() bool {
	rp, err := en.client.Get(fmt.Sprintf("http://%s:%d/aspenseam/readyz", en.ip, readyPort))
	if err != nil {
		return false
	}
	_ = rp.Body.Close()
	return rp.StatusCode == http.StatusOK
}

// call makes one call of a client. The status is 0 if there was no answer.
func (en *entry) call(method, host, path string, body any, patience time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = strings.NewReader(string(raw))
	}
	rq, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", en.ip, frontPort, path), reader)
	if err != nil {
		return 0, nil
	}
	rq.Host = host
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	rp, err := en.client.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = rp.Body.Close() }()
	raw, err := io.ReadAll(rp.Body)
	if err != nil {
		return 0, nil
	}
	return rp.StatusCode, raw
}

// errNobody means that no entry instance runs.
var errNobody = errors.New("no entry instance runs")

// anyEntry returns the entry instances that run, beginning with another one each time.
func (wd *world) anyEntry() (*entry, error) {
	wd.mu.Lock()
	entries := wd.entries
	wd.next++
	first := wd.next
	wd.mu.Unlock()
	for at := range entries {
		if en := entries[(first+at)%len(entries)]; en.running() {
			return en, nil
		}
	}
	return nil, errNobody
}
