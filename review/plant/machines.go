package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// upkeepTime is bounds.maintenance_s.
const upkeepTime = 2 * time.Second

// wave is a wave of upkeep that the operator asks for.
type wave struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	Duration int      `json:"duration_s"`
	Maximum  int      `json:"maximum"`
}

// duty is the body of an order for a machine.
type duty struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
}

// ServeHTTP answers calls about machines.
func (pl *plant) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	switch strings.TrimPrefix(rq.URL.Path, "/aspenseam/") {
	case "machines":
		answer(wr, http.StatusOK, map[string]any{"machines": pl.listMachines(), "next_token": nil})
	case "machine-upkeep":
		pl.serveUpkeep(wr, rq)
	default:
		// There is one pool, so no machine can move.
		answer(wr, http.StatusBadRequest, map[string]string{})
	}
}

func (pl *plant) listMachines() []map[string]any {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	list := []map[string]any{}
	for machine, wk := range pl.workers {
		mc := map[string]any{"machine": machine, "pool": pl.service, "state": "down", "zone": zones[0], "labels": []string{"a", pl.racks[machine]}, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMB, "gpu": 0}, "id": ""}
		switch {
		case pl.inUpkeep[machine]:
			mc["state"] = "upkeep"
		case wk != nil:
			mc["state"], mc["id"] = "up", wk.id
		}
		list = append(list, mc)
	}
	slices.SortFunc(list, func(one, other map[string]any) int {
		return strings.Compare(one["machine"].(string), other["machine"].(string))
	})
	return list
}

// serveUpkeep takes a machine down for its upkeep. Everything that runs there dies at once.
func (pl *plant) serveUpkeep(wr http.ResponseWriter, rq *http.Request) {
	var du duty
	token, err := strconv.ParseInt(rq.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(rq.Body).Decode(&du) != nil {
		answer(wr, http.StatusBadRequest, map[string]string{})
		return
	}
	status, reason := pl.beginUpkeep(du, token)
	pl.record("%s orders the upkeep of %s for wave %d with token %d: %d %s", rq.Header.Get("X-Duty-Holder"), du.Machine, du.Wave, token, status, reason)
	answer(wr, status, map[string]string{"reason": reason})
}

// beginUpkeep begins the upkeep of a machine, unless it has been done for this wave or must not begin.
func (pl *plant) beginUpkeep(du duty, token int64) (status int, reason string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	wv, asked := pl.waves[du.Wave]
	wk, known := pl.workers[du.Machine]
	switch {
	case !known:
		return http.StatusBadRequest, ""
	case token < pl.fences[du.Machine]:
		return http.StatusConflict, "fence"
	case !asked || !slices.Contains(wv.Machines, du.Machine):
		return http.StatusConflict, "wave"
	}
	pl.fences[du.Machine] = token
	key := fmt.Sprintf("%d/%s", du.Wave, du.Machine)
	switch {
	case pl.serviced[key]:
		return http.StatusOK, "already done"
	case wk == nil || pl.inUpkeep[du.Machine]:
		return http.StatusConflict, "busy"
	}
	pl.serviced[key], pl.inUpkeep[du.Machine], pl.workers[du.Machine] = true, true, nil
	rack := pl.racks[du.Machine]
	go func() {
		wk.stop()
		wk.mu.Lock()
		wk.leaving = true
		wk.mu.Unlock()
		pl.store.remove("servers", wk.id)
	}()
	time.AfterFunc(upkeepTime, func() {
		pl.mu.Lock()
		delete(pl.inUpkeep, du.Machine)
		pl.mu.Unlock()
		pl.addMachine(du.Machine, rack)
	})
	return http.StatusOK, ""
}

// askWave has the operator ask for a wave.
func (pl *plant) askWave(wv wave) {
	pl.mu.Lock()
	pl.waves[wv.Wave] = wv
	pl.mu.Unlock()
	pl.record("the operator asks for wave %d of %v, %d at once", wv.Wave, wv.Machines, wv.Maximum)
	pl.store.put("op", fmt.Sprintf("wave/%d", wv.Wave), wv)
}

// waveCompleted reports whether the system has told the operator that a wave is completed.
func (pl *plant) waveCompleted(number int) bool {
	pg := pl.store.get("status", "", fmt.Sprintf("wave/%d", number), fmt.Sprintf("wave/%d!", number), "1")
	return len(pg.Rows) > 0 && strings.Contains(string(pg.Rows[0].Value), `"completed"`)
}
