package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
	"github.com/aspenseam/aspenseam/tcp"
	"go.uber.org/zap"
)

// ErrNoConfiguration means that the operator has not stored a configuration yet.
var ErrNoConfiguration = errors.New("the store has no configuration")

// OrganisationStatus is the state of an organisation as shown to operators.
type OrganisationStatus struct {
	ID     job.OrganisationID `json:"id"`
	Weight float64            `json:"weight"`
	// Keys are the fingerprints of the organisation's keys.
	Keys    []string `json:"keys"`
	Maximum job.Size `json:"maximum"`
	// Held is the part of the maximum that all cells together hold, Running the size of the tasks that run.
	Held    job.Size `json:"held"`
	Running job.Size `json:"running"`
	// Waiting is the number of jobs with waiting tasks, Oldest the age of the oldest of them. AtLimit lists the pools in which
	// jobs wait because the organisation has reached its maximum.
	Waiting int           `json:"waiting"`
	Oldest  time.Duration `json:"oldestNanos"`
	AtLimit []job.PoolID  `json:"atLimit,omitempty"`
}

// OrganisationReport is the state of all organisations. Unreachable lists the addresses of owners that did not answer.
type OrganisationReport struct {
	Version       int64                `json:"version"`
	Organisations []OrganisationStatus `json:"organisations"`
	Unreachable   []string             `json:"silent,omitempty"`
}

// ReadOrganisations collects the state of all organisations from the store and from the owners of cells.
func ReadOrganisations(ctx context.Context, st Store, fm Format) (*OrganisationReport, error) {
	cf, err := readConfiguration(ctx, st, fm)
	if err != nil {
		return nil, err
	}
	held, err := readAccounts(ctx, st)
	if err != nil {
		return nil, err
	}
	addresses, err := ownerAddresses(ctx, st, cf)
	if err != nil {
		return nil, err
	}
	rp := &OrganisationReport{Version: cf.Version, Organisations: []OrganisationStatus{}}
	loads := map[job.OrganisationID][]cell.OrganisationLoad{}
	for _, address := range addresses {
		if !queryOrganisations(ctx, address, loads) {
			rp.Unreachable = append(rp.Unreachable, address)
		}
	}
	for _, og := range cf.Organisations.List() {
		rp.Organisations = append(rp.Organisations, organisationStatus(og, held[og.ID], loads[og.ID]))
	}
	return rp, nil
}

func readConfiguration(ctx context.Context, st Store, fm Format) (*job.Configuration, error) {
	pg, err := st.Read(ctx, Query{Table: fm.OperatorTable()})
	if err != nil {
		return nil, err
	}
	for _, rw := range pg.Rows {
		cf, err := fm.Configuration(rw)
		if cf != nil || err != nil {
			return cf, err
		}
	}
	return nil, ErrNoConfiguration
}

// readAccounts returns the part of each maximum that all cells together hold.
func readAccounts(ctx context.Context, st Store) (map[job.OrganisationID]job.Size, error) {
	pg, err := st.Read(ctx, Query{Table: tableAccount, Part: accountPart})
	if err != nil {
		return nil, err
	}
	held := map[job.OrganisationID]job.Size{}
	for _, rw := range pg.Rows {
		var ac cell.Account
		if err := json.Unmarshal(rw.Value, &ac); err != nil {
			return nil, err
		}
		held[job.OrganisationID(rw.Key)] = ac.Held()
	}
	return held, nil
}

// ownerAddresses returns the addresses of the owners of cells.
func ownerAddresses(ctx context.Context, st Store, cf *job.Configuration) ([]string, error) {
	var addresses []string
	seen := map[string]bool{}
	for _, pool := range cf.Pools {
		or := ownerRow{}
		if err := readJSON(ctx, st, Place{tableControl, cellName(pool.ID), ownerKey}, &or); err != nil {
			return nil, err
		}
		if or.Holder == "" || seen[or.Holder] {
			continue
		}
		seen[or.Holder] = true
		nd := node{}
		if err := readJSON(ctx, st, nodePlace(or.Holder), &nd); err != nil {
			return nil, err
		}
		if nd.Address != "" {
			addresses = append(addresses, nd.Address)
		}
	}
	return addresses, nil
}

// readJSON reads and decodes one row. It leaves the value unchanged if the row does not exist.
func readJSON(ctx context.Context, st Store, place Place, into any) error {
	pg, err := st.Read(ctx, Query{Table: place.Table, Part: place.Part, From: place.Key, To: place.Key + "!", Limit: 1})
	if err != nil || len(pg.Rows) == 0 || pg.Rows[0].Key != place.Key {
		return err
	}
	return json.Unmarshal(pg.Rows[0].Value, into)
}

// queryOrganisations adds the loads that one owner returns, and reports whether it answered.
func queryOrganisations(ctx context.Context, address string, loads map[job.OrganisationID][]cell.OrganisationLoad) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	cl := peer.NewCellsProtobufClient("http://"+address, tcp.NewClient(tcp.DialTimeout(peerDialTimeout)))
	rp, err := cl.Organisations(ctx, &peer.OrganisationsRequest{})
	if err != nil {
		return false
	}
	for _, raw := range rp.Organisations {
		var ol cell.OrganisationLoad
		if json.Unmarshal(raw, &ol) != nil {
			return false
		}
		loads[ol.Organisation] = append(loads[ol.Organisation], ol)
	}
	return true
}

// organisationStatus combines the configuration of an organisation with its accounts and loads.
func organisationStatus(og job.Organisation, held job.Size, loads []cell.OrganisationLoad) OrganisationStatus {
	os := OrganisationStatus{ID: og.ID, Weight: og.Weight, Keys: []string{}, Maximum: og.Maximum, Held: held}
	for _, ky := range og.Keys {
		os.Keys = append(os.Keys, ky.Fingerprint())
	}
	for _, ol := range loads {
		os.Running = os.Running.Add(ol.Running)
		os.Waiting += ol.Waiting
		os.Oldest = max(os.Oldest, ol.Oldest)
		if ol.AtLimit {
			os.AtLimit = append(os.AtLimit, ol.Pool)
		}
	}
	return os
}

// Organisations returns the loads of all organisations in the cells that this instance owns.
func (sv cellsServer) Organisations(context.Context, *peer.OrganisationsRequest) (*peer.OrganisationsResponse, error) {
	rp := &peer.OrganisationsResponse{}
	for _, ow := range sv.fl.allOwners() {
		ow.mu.Lock()
		list := ow.core.OrganisationLoads(ow.fl.opts.Now())
		ow.mu.Unlock()
		for _, ol := range list {
			raw, err := json.Marshal(ol)
			if err != nil {
				sv.fl.opts.Log.Emit(event.PeerSilent, zap.String("call", "organisations"), zap.Error(err))
				continue
			}
			rp.Organisations = append(rp.Organisations, raw)
		}
	}
	return rp, nil
}
