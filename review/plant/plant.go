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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the data halls of the plant, with one entry instance each.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// Names and times of the plant.
const (
	clientHost   = "pule25.example"
	routePrefix  = "/puxa400/"
	graceTime    = 6 * time.Second
	readyTimeout = 20 * time.Second
)

// plant is a small deployment: the platform's stand-ins, workers and entry instances.
type plant struct {
	store   *store
	service string
	dir     string
	began   time.Time
	// workOf returns how long a task with a spec works, or that it lasts.
	workOf  func(spec string) (work time.Duration, lasting bool)
	entries []*entry
	servers []*http.Server
	mu      sync.Mutex // guards the fields below
	log     io.Writer
	lastID  int
	// workers are the live workers by machine.
	workers map[string]*worker
	racks   map[string]string
	starts  []startOf
	// waves are the waves that the operator has asked for. serviced are the upkeeps that have begun, inUpkeep the machines that are down for one, fences
	// the highest fencing token of each machine.
	waves    map[int]wave
	serviced map[string]bool
	inUpkeep map[string]bool
	fences   map[string]int64
}

// startOf is a start of a task that a worker has begun.
type startOf struct {
	at      time.Time
	task    string
	attempt int
	worker  *worker
}

// entry is an entry instance.
type entry struct {
	name, callers, ready string
	cmd                  *exec.Cmd
	log                  *os.File
}

// newPlant starts the platform's stand-ins. The record goes to a file.
func newPlant(record io.Writer) (*plant, error) {
	dir, err := os.MkdirTemp("", "plant")
	if err != nil {
		return nil, err
	}
	pl := &plant{store: newStore(), service: "huvo11a", dir: dir, began: time.Now(), log: record, workers: map[string]*worker{}, racks: map[string]string{}, waves: map[int]wave{}, serviced: map[string]bool{}, inUpkeep: map[string]bool{}, fences: map[string]int64{}}
	pl.workOf = func(string) (time.Duration, bool) { return 200 * time.Millisecond, false }
	pl.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": clientHost, "path_prefix": routePrefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0,
			"service": pl.service, "max_attempts": 4, "extension": 1.6,
		}},
		"services": []map[string]any{{"name": pl.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "preconditions": false, "headroom": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return pl, nil
}

// record writes a line of the record.
func (pl *plant) record(format string, args ...any) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	fmt.Fprintf(pl.log, "%8.3f  %s\n", time.Since(pl.began).Seconds(), fmt.Sprintf(format, args...))
}

func (pl *plant) nextID() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.lastID++
	return 0x7f3a91c200 + pl.lastID
}

// started notes a start.
func (pl *plant) started(task string, attempt int, wk *worker) {
	pl.record("start of %s attempt %d on %s (%s, %s)", task, attempt, wk.id, wk.machine, wk.rack)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.starts = append(pl.starts, startOf{time.Now(), task, attempt, wk})
}

// startsOf returns the starts of a job's tasks.
func (pl *plant) startsOf(id string) []startOf {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var list []startOf
	for _, so := range pl.starts {
		if strings.HasPrefix(so.task, id+".") {
			list = append(list, so)
		}
	}
	return list
}

// addMachine adds a machine with a worker.
func (pl *plant) addMachine(machine, rack string) {
	wk := pl.startWorker(machine, rack)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.workers[machine], pl.racks[machine] = wk, rack
}

// serve serves a handler at a free loopback address.
func (pl *plant) serve(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler}
	pl.servers = append(pl.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Ports of the entry instances. They lie below those that the kernel gives to outgoing connections, which would otherwise take them.
const (
	firstPort = 15000
	portCount = 16000
	portTries = 200
)

// freePorts returns loopback addresses that were free when they were tried.
func freePorts(count int) ([]string, error) {
	var list []string
	for range portTries {
		ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount))))
		if err != nil {
			continue
		}
		defer ln.Close()
		if list = append(list, ln.Addr().String()); len(list) == count {
			return list, nil
		}
	}
	return nil, errors.New("no free ports")
}

// startEntries starts one entry instance for each zone, with the command of the deploy file, and waits until all are ready.
func (pl *plant) startEntries() error {
	storeAddress, err := pl.serve(pl.store)
	if err != nil {
		return err
	}
	machinesAddress, err := pl.serve(pl)
	if err != nil {
		return err
	}
	ports, err := freePorts(4 * len(zones))
	if err != nil {
		return err
	}
	var seeds []string
	for at := range zones {
		seeds = append(seeds, ports[4*at+2])
	}
	for at, zone := range zones {
		en := &entry{name: "edge-" + zone + "-1", callers: ports[4*at], ready: ports[4*at+1]}
		path := filepath.Join(pl.dir, en.name+".conf")
		if err := os.WriteFile(path, []byte(settingsOf(en, zone, ports[4*at+2], ports[4*at+3], seeds, storeAddress, machinesAddress)), 0o600); err != nil {
			return err
		}
		if en.log, err = os.Create(filepath.Join(pl.dir, en.name+".log")); err != nil {
			return err
		}
		en.cmd = exec.Command("target/aspenseam", "serve", "--cells", "deploy/cells.jsonc")
		en.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ASPENSEAM_SETTINGS=" + path}
		en.cmd.Stdout, en.cmd.Stderr = en.log, en.log
		if err := en.cmd.Start(); err != nil {
			return err
		}
		pl.entries = append(pl.entries, en)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, en := range pl.entries {
		for !en.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not become ready", en.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	pl.record("%d entry instances are ready", len(pl.entries))
	return nil
}

// settingsOf returns the settings file of an entry instance.
func settingsOf(en *entry, zone, control, figures string, seeds []string, storeAddress, machinesAddress string) string {
	port := figures[strings.LastIndex(figures, ":")+1:]
	lines := []string{
		"node_name=" + en.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=127.0.0.1", "zone=" + zone, "region=bg-south",
		"listen.frontend=" + en.callers, "listen.ready=" + en.ready, "listen.control_plane=" + control, "port_range=" + port + "," + port,
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "heartbeat_ms=1500",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", int(graceTime.Seconds())), "bounds.hold_max_ms=10000", "bounds.stop_ms=400",
		"bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_factor=2",
		"bounds.notice_ms=4500", "bounds.move_s=1.5", "bounds.maintenance_s=2", "bounds.fencing_enforced=true", "bounds.lease_ms=3000", "commands=invoke",
		"platform.address=" + storeAddress, "platform.form=table", "platform.writes_per_s=600", "platform.reads_per_s=2000", "platform.tx_ms=3.0", "platform.part_writes_per_s=300",
		"platform.row_bytes=65536", "platform.cross_shard=true", "platform.history_s=20", "cloud_api.address=" + machinesAddress, "cloud_api.rate_per_s=64.0", "cloud_api.duty_per_s=64.0",
	}
	for _, name := range zones {
		lines = append(lines, "zones."+name+"=bg-south")
	}
	return strings.Join(lines, "\n") + "\n"
}

func (en *entry) isReady() bool {
	rp, err := http.Get("http://" + en.ready + "/aspenseam/readyz")
	if err != nil {
		return false
	}
	defer rp.Body.Close()
	return rp.StatusCode == http.StatusOK
}

// call is a call of a client to one entry instance, over a connection of its own. It returns status 0 if there was no answer within the patience.
func (pl *plant) call(en *entry, method, id string, body any, patience time.Duration) (int, string) {
	raw := []byte{}
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	rq, err := http.NewRequest(method, "http://"+en.callers+routePrefix+id, bytes.NewReader(raw))
	if err != nil {
		return 0, ""
	}
	rq.Host = clientHost
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	pl.record("client sends %s %s to %s", method, id, en.name)
	rp, err := client.Do(rq)
	if err != nil {
		pl.record("client gets no answer to %s %s within %v and leaves", method, id, patience)
		return 0, ""
	}
	defer rp.Body.Close()
	text, _ := io.ReadAll(rp.Body)
	pl.record("client is answered %s %s: %d %s", method, id, rp.StatusCode, strings.TrimSpace(string(text)))
	return rp.StatusCode, string(text)
}

// stop ends all processes that the plant has started.
func (pl *plant) stop() {
	for _, en := range pl.entries {
		_ = en.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, en := range pl.entries {
		kill := time.AfterFunc(graceTime, func() { _ = en.cmd.Process.Kill() })
		_ = en.cmd.Wait()
		kill.Stop()
		_ = en.log.Close()
	}
	for _, srv := range pl.servers {
		_ = srv.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(pl.dir)
	}
}
