package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
	"github.com/aspenseam/aspenseam/tcp"
)

// HallStatus is the state of a data hall as shown to operators.
type HallStatus struct {
	Hall job.HallID `json:"hall"`
	// Workers is the number of registered workers, Cold the number of those that are still slow after their start.
	Workers int `json:"workers"`
	Cold    int `json:"cold"`
	// Tasks is the number of tasks that run or may run there.
	Tasks int `json:"tasks"`
	// EvacuatedSince is when the first owner learned that the hall is evacuated; zero if it is not. By and Why are from the
	// command that evacuated it, empty if the platform's operator did.
	EvacuatedSince time.Time `json:"evacuatedSince,omitzero"`
	By             string    `json:"by,omitempty"`
	Why            string    `json:"why,omitempty"`
}

// HallReport is the state of all data halls. Unreachable lists the addresses of owners that did not answer.
type HallReport struct {
	Halls       []HallStatus `json:"halls"`
	Unreachable []string     `json:"silent,omitempty"`
}

// ReadHalls collects the state of all data halls from the store and from the owners of cells.
func ReadHalls(ctx context.Context, st Store, fm Format) (*HallReport, error) {
	cf, err := readConfiguration(ctx, st, fm)
	if err != nil {
		return nil, err
	}
	requests, err := evacuationRows(ctx, st)
	if err != nil {
		return nil, err
	}
	addresses, err := ownerAddresses(ctx, st, cf)
	if err != nil {
		return nil, err
	}
	found := map[job.HallID]*HallStatus{}
	rp := &HallReport{Halls: []HallStatus{}}
	for _, address := range addresses {
		if !queryHalls(ctx, address, found) {
			rp.Unreachable = append(rp.Unreachable, address)
		}
	}
	for _, ev := range requests {
		hs := statusOf(found, ev.Hall)
		hs.EvacuatedSince, hs.By, hs.Why = ev.At, ev.By, ev.Why
	}
	for _, hs := range found {
		rp.Halls = append(rp.Halls, *hs)
	}
	slices.SortFunc(rp.Halls, func(one, other HallStatus) int { return cmp.Compare(one.Hall, other.Hall) })
	return rp, nil
}

// statusOf returns the entry of a hall, and adds it if there is none.
func statusOf(found map[job.HallID]*HallStatus, hall job.HallID) *HallStatus {
	if found[hall] == nil {
		found[hall] = &HallStatus{Hall: hall}
	}
	return found[hall]
}

// queryHalls adds what one owner has in each data hall, and reports whether it answered.
func queryHalls(ctx context.Context, address string, found map[job.HallID]*HallStatus) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	cl := peer.NewCellsProtobufClient("http://"+address, tcp.NewClient(tcp.DialTimeout(peerDialTimeout)))
	rp, err := cl.Halls(ctx, &peer.HallsRequest{})
	if err != nil {
		return false
	}
	for _, hl := range rp.Halls {
		hs := statusOf(found, job.HallID(hl.Hall))
		hs.Workers += int(hl.Workers)
		hs.Cold += int(hl.Cold)
		hs.Tasks += int(hl.Tasks)
		if since := time.UnixMilli(hl.EvacuatedSinceMillis).UTC(); hl.EvacuatedSinceMillis != 0 && (hs.EvacuatedSince.IsZero() || since.Before(hs.EvacuatedSince)) {
			hs.EvacuatedSince = since
		}
	}
	return true
}

// Halls returns what the cells that this instance owns have in each data hall, and the evacuated halls in which they have nothing.
func (sv cellsServer) Halls(context.Context, *peer.HallsRequest) (*peer.HallsResponse, error) {
	rp := &peer.HallsResponse{}
	for hall := range sv.fl.evacuatedHalls() {
		rp.Halls = append(rp.Halls, &peer.HallLoad{Hall: string(hall), EvacuatedSinceMillis: sv.fl.evacuations.since(hall).UnixMilli()})
	}
	for _, ow := range sv.fl.allOwners() {
		ow.mu.Lock()
		list := ow.core.HallLoads(ow.fl.opts.Now())
		ow.mu.Unlock()
		for _, hl := range list {
			rp.Halls = append(rp.Halls, &peer.HallLoad{Hall: string(hl.Hall), Workers: int32(hl.Workers), Cold: int32(hl.Cold), Tasks: int32(hl.Tasks)})
		}
	}
	return rp, nil
}
