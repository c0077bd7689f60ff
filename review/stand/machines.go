package main

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// moveTime is how long a machine takes to move to another pool.
const moveTime = 1500 * time.Millisecond

// machine is a machine of the platform. The world's lock guards its fields.
type machine struct {
	name, pool, zone, rack, state string
	cpu, mem                      int
	worker                        *worker
}

// machineService lists machines and moves them.
type machineService struct{ wd *world }

// ServeHTTP answers the calls of the machine service.
func (ms machineService) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	switch rq.URL.Path {
	case "/aspenseam/machines":
		ms.list(wr)
	case "/aspenseam/machine-move":
		ms.move(wr, raw)
	default:
		sendJSON(wr, http.StatusConflict, map[string]string{"reason": "wave"})
	}
}

func (ms machineService) list(wr http.ResponseWriter) {
	ms.wd.mu.Lock()
	list := []map[string]any{}
	for _, mc := range ms.wd.machines {
		id := ""
		if mc.worker != nil && mc.state == "up" {
			id = mc.worker.id
		}
		list = append(list, map[string]any{"machine": mc.name, "pool": mc.pool, "state": mc.state, "zone": mc.zone, "labels": []string{"a", mc.rack}, "capacity": map[string]int{"cpu": mc.cpu, "mem_mb": mc.mem, "gpu": 0}, "id": id})
	}
	ms.wd.mu.Unlock()
	sendJSON(wr, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

func (ms machineService) move(wr http.ResponseWriter, raw []byte) {
	var od struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if json.Unmarshal(raw, &od) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	ms.wd.mu.Lock()
	defer ms.wd.mu.Unlock()
	for _, mc := range ms.wd.machines {
		if mc.name != od.Machine {
			continue
		}
		if mc.pool == od.Pool {
			wr.WriteHeader(http.StatusOK)
			return
		}
		if mc.state != "up" {
			sendJSON(wr, http.StatusConflict, map[string]string{"reason": "busy"})
			return
		}
		mc.state, mc.pool = "moving", od.Pool
		former := mc.worker
		mc.worker = nil
		ms.wd.rec.add("machine %s moves to %s", mc.name, mc.pool)
		go former.die()
		time.AfterFunc(moveTime, func() {
			ms.wd.mu.Lock()
			mc.state = "up"
			ms.wd.mu.Unlock()
			if err := ms.wd.startWorker(mc); err != nil {
				ms.wd.rec.add("machine %s has no worker: %v", mc.name, err)
			}
		})
		wr.WriteHeader(http.StatusOK)
		return
	}
	wr.WriteHeader(http.StatusBadRequest)
}

// crashDark takes the power from the machine of a worker for some time. A new life of the worker follows.
func (wd *world) crashDark(id string, span time.Duration) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for _, mc := range wd.machines {
		if mc.worker == nil || mc.worker.id != id {
			continue
		}
		former := mc.worker
		mc.worker, mc.state = nil, "down"
		wd.rec.add("machine %s with worker %s loses its power for %v", mc.name, id, span)
		go former.goDark()
		time.AfterFunc(span, func() {
			wd.mu.Lock()
			mc.state = "up"
			wd.mu.Unlock()
			if err := wd.startWorker(mc); err != nil {
				wd.rec.add("machine %s has no worker: %v", mc.name, err)
			}
		})
	}
}
