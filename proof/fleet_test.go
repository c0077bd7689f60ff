package proof

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
)

// shape says what a fleet of a test is made of.
type shape struct {
	halls     int
	entries   int // in each hall
	endpoints int // in each hall
	// workMs is how long each execution takes.
	workMs int
	noEcho bool
	// ghosts is the number of instances that have rows and no process, in so many pools.
	ghosts, ghostPools int
	// settings are merged over the usual ones, by section.
	settings map[string]map[string]any
}

// fleet is the processes of one test.
type fleet struct {
	t         *testing.T
	dir       string
	sp        shape
	platform  *process
	store     string
	relays    map[string]*relay // by target address
	entries   []*entryProcess
	endpoints []*endpointProcess
	members   []table.Member
	actions   *actions
	// noSeeds starts entry instances that know no peer.
	noSeeds bool
}

type entryProcess struct {
	*process
	id       string
	hall     string
	ip       string
	callers  string
	peers    string
	operator string
	file     string
	store    *relay
	inbound  *relay
}

type endpointProcess struct {
	*process
	id      table.InstanceID
	hall    string
	address string
	inbound *relay
	sp      shape
}

// newFleet starts a fleet and waits until every entry instance serves.
func newFleet(t *testing.T, sp shape) *fleet {
	t.Helper()
	fl := &fleet{t: t, dir: t.TempDir(), sp: sp, relays: map[string]*relay{}}
	fl.store = freeAddress(t, "127.0.0.1")
	for hall := range sp.halls {
		for range sp.endpoints {
			fl.planEndpoint(fmt.Sprintf("hall%d", hall+1))
		}
		for range sp.entries {
			fl.planEntry(fmt.Sprintf("hall%d", hall+1))
		}
	}
	fl.actions = newActions(fl)
	fl.startPlatform()
	for _, ep := range fl.endpoints {
		fl.startEndpoint(ep)
	}
	for _, en := range fl.entries {
		fl.startEntry(en)
	}
	for _, en := range fl.entries {
		fl.awaitReady(en)
	}
	return fl
}

func (fl *fleet) planEndpoint(hall string) {
	ep := &endpointProcess{id: table.InstanceID(fmt.Sprintf("w%d", len(fl.endpoints)+1)), hall: hall, address: freeAddress(fl.t, "127.0.0.1"), sp: fl.sp}
	ep.inbound = newRelay(fl.t, ep.address)
	fl.endpoints = append(fl.endpoints, ep)
	fl.members = append(fl.members, table.Member{ID: ep.id, Role: table.RoleWorker, State: table.MemberLive, Hall: table.HallID(hall)})
}

func (fl *fleet) planEntry(hall string) *entryProcess {
	number := len(fl.entries) + 1
	en := &entryProcess{id: fmt.Sprintf("e%d", number), hall: hall, ip: fmt.Sprintf("127.0.1.%d", number)}
	en.callers, en.peers, en.operator = freeAddress(fl.t, "127.0.0.1"), freeAddress(fl.t, "127.0.0.1"), freeAddress(fl.t, "127.0.0.1")
	en.store, en.inbound = newRelay(fl.t, fl.store), newRelay(fl.t, en.peers)
	fl.entries = append(fl.entries, en)
	fl.members = append(fl.members, table.Member{ID: table.InstanceID(en.id), Role: table.RoleEntry, State: table.MemberLive, Hall: table.HallID(hall), Address: en.inbound.address()})
	return en
}

func (fl *fleet) startPlatform() {
	seed := standin.Seed{Members: fl.members}
	seed.Services = []table.Service{{ID: service, Slots: 8, Connections: 64, Echo: !fl.sp.noEcho, Asked: len(fl.endpoints), Budget: 2}}
	seed.Pools = []table.Pool{{ID: "pool1", Services: []table.ServiceID{service}}, {ID: "pool2", Services: []table.ServiceID{"tally"}}}
	seed.Services = append(seed.Services, table.Service{ID: "tally", Slots: 8, Connections: 64, Echo: true})
	for ix, ep := range fl.endpoints {
		seed.Instances = append(seed.Instances, table.Instance{ID: ep.id, Hall: table.HallID(ep.hall), Rack: table.RackID(fmt.Sprintf("r%d", ix/4)), Pool: "pool1", Address: ep.inbound.address(), State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{service}})
	}
	fl.addGhosts(&seed)
	file := fl.write("seed.json", seed)
	fl.platform = startProcess(fl.t, fl.dir, "platform", "standin-platform", "--address", fl.store, "--seed", file, "--hook", fl.actions.url)
	fl.awaitListening(fl.store)
}

// addGhosts adds instances that only the control side sees, for measuring it at a size that this machine cannot run.
func (fl *fleet) addGhosts(seed *standin.Seed) {
	for ix := range fl.sp.ghosts {
		pool := fmt.Sprintf("ghost%d", ix%fl.sp.ghostPools)
		if ix < fl.sp.ghostPools {
			seed.Pools = append(seed.Pools, table.Pool{ID: table.PoolID(pool), Services: []table.ServiceID{table.ServiceID(pool)}})
			seed.Services = append(seed.Services, table.Service{ID: table.ServiceID(pool), Slots: 8, Connections: 64, Asked: 3, Budget: 1})
		}
		id := table.InstanceID(fmt.Sprintf("ghost-worker-%d", ix))
		seed.Instances = append(seed.Instances, table.Instance{ID: id, Hall: "hall1", Rack: table.RackID(fmt.Sprintf("rack%d", ix/4)), Pool: table.PoolID(pool), Address: "127.0.0.1:1", State: table.InstanceServing, Epoch: 1, Services: []table.ServiceID{table.ServiceID(pool)}})
		seed.Members = append(seed.Members, table.Member{ID: id, Role: table.RoleWorker, State: table.MemberLive, Hall: "hall1"})
	}
}

func (fl *fleet) startEndpoint(ep *endpointProcess) {
	ep.process = startProcess(fl.t, fl.dir, string(ep.id), "standin-endpoint", "--address", ep.address, "--id", string(ep.id), "--work", fmt.Sprintf("%dms", ep.sp.workMs), "--journal", fl.journal(ep))
	fl.awaitListening(ep.address)
}

// journal is the file in which an endpoint notes what it runs; it outlives the process.
func (fl *fleet) journal(ep *endpointProcess) string {
	return filepath.Join(fl.dir, string(ep.id)+".journal")
}

// restart starts a killed endpoint again, at the same address.
func (fl *fleet) restart(ep *endpointProcess) {
	fl.startEndpoint(ep)
	ep.inbound.open(fl.t)
}

// journals returns every execution of all endpoints, living or dead.
func (fl *fleet) journals() []standin.Execution {
	fl.t.Helper()
	var all []standin.Execution
	for _, ep := range fl.endpoints {
		file, err := os.Open(fl.journal(ep))
		if err != nil {
			fl.t.Fatal(err)
		}
		dec := json.NewDecoder(file)
		for {
			var ex standin.Execution
			if err := dec.Decode(&ex); err != nil {
				break
			}
			all = append(all, ex)
		}
		_ = file.Close()
	}
	return all
}

func (fl *fleet) awaitListening(address string) {
	fl.t.Helper()
	eventually(fl.t, "listening on "+address, func() bool {
		rp, err := http.Get("http://" + address + "/control/counts")
		if err != nil {
			return false
		}
		_ = rp.Body.Close()
		return true
	})
}

// startEntry starts an entry instance, or starts it again.
func (fl *fleet) startEntry(en *entryProcess) {
	seeds := []string{}
	for _, other := range fl.entries {
		if other != en && !fl.noSeeds {
			seeds = append(seeds, other.inbound.address())
		}
	}
	st := map[string]map[string]any{
		"entry":    {"id": en.id, "hall": en.hall, "callerAddress": en.callers, "peerAddress": en.peers, "operatorAddress": en.operator, "sourceIP": en.ip},
		"platform": {"addresses": []string{en.store.address()}, "pollInterval": "200ms", "timeout": "1s"},
		"peer":     {"keys": []string{peerKey}, "seeds": seeds, "syncInterval": "200ms"},
		"caller":   {},
		"endpoint": {},
		"tls":      {},
		"jobs":     {},
	}
	for section, values := range fl.sp.settings {
		maps.Copy(st[section], values)
	}
	all := map[string]any{"operators": []map[string]string{{"name": "alice", "token": token}, {"name": "bruno", "token": token + "-bruno"}}}
	for section, values := range st {
		all[section] = values
	}
	en.file = fl.write(en.id+".json", all)
	en.process = startProcess(fl.t, fl.dir, en.id, "entry", "--settings", en.file)
}

func (fl *fleet) awaitReady(en *entryProcess) {
	fl.t.Helper()
	eventually(fl.t, en.id+" ready", func() bool {
		rp, err := http.Get("http://" + en.callers + "/.aspenseam/ready")
		if err != nil {
			return false
		}
		_ = rp.Body.Close()
		return rp.StatusCode == http.StatusNoContent
	})
}

func (fl *fleet) write(name string, value any) string {
	fl.t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		fl.t.Fatal(err)
	}
	path := filepath.Join(fl.dir, name)
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		fl.t.Fatal(err)
	}
	return path
}

// fail switches the platform's faults.
func (fl *fleet) fail(fs standin.PlatformFaults) {
	fl.t.Helper()
	control(fl.t, http.MethodPut, fl.store, "/control/faults", fs, nil)
}

func (fl *fleet) platformCounts() standin.PlatformCounts {
	fl.t.Helper()
	var counts standin.PlatformCounts
	control(fl.t, http.MethodGet, fl.store, "/control/counts", nil, &counts)
	return counts
}

// failAll switches the faults of every endpoint.
func (fl *fleet) failAll(fs standin.EndpointFaults) {
	fl.t.Helper()
	for _, ep := range fl.endpoints {
		ep.fail(fs)
	}
}

// requestWrites counts the writes other than those of leases, which are written whether there are requests or not.
func (fl *fleet) requestWrites() int64 {
	fl.t.Helper()
	counts := fl.platformCounts()
	return counts.Writes - counts.Leases
}

// list makes the platform list all members but some.
func (fl *fleet) list(without ...table.InstanceID) {
	fl.t.Helper()
	var members []table.Member
	for _, mb := range fl.members {
		drop := false
		for _, id := range without {
			drop = drop || id == mb.ID
		}
		if !drop {
			members = append(members, mb)
		}
	}
	control(fl.t, http.MethodPut, fl.store, "/control/members", members, nil)
}

// kill ends the process; its port refuses connections from then on, as the relay before it does.
func (ep *endpointProcess) kill() {
	ep.process.kill()
	ep.inbound.close()
}

func (ep *endpointProcess) fail(fs standin.EndpointFaults) {
	ep.t.Helper()
	control(ep.t, http.MethodPut, ep.address, "/control/faults", fs, nil)
}

func (ep *endpointProcess) counts() standin.EndpointCounts {
	ep.t.Helper()
	var counts standin.EndpointCounts
	control(ep.t, http.MethodGet, ep.address, "/control/counts", nil, &counts)
	return counts
}

// executions counts over all endpoints, living or dead, how often a request ran.
func (fl *fleet) executions(id string) int {
	fl.t.Helper()
	count := 0
	for _, ex := range fl.journals() {
		if ex.RequestID == id {
			count++
		}
	}
	return count
}

func (fl *fleet) hallOf(id table.InstanceID) string {
	return fl.endpoint(id).hall
}

func (fl *fleet) endpoint(id table.InstanceID) *endpointProcess {
	fl.t.Helper()
	for _, ep := range fl.endpoints {
		if ep.id == id {
			return ep
		}
	}
	fl.t.Fatalf("no endpoint %q", id)
	return nil
}
