package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/settings"
	"github.com/aspenseam/aspenseam/table"
	"go.uber.org/zap"
)

// configurationKey is the key of the row with the accepted fleet settings.
const configurationKey = "fleet"

// Configuration is the row with the accepted fleet settings. A configuration counts as accepted once the row is committed.
type Configuration struct {
	// Document is the JSON text as the operator wrote it, including comments.
	Document string    `json:"document"`
	Author   Name      `json:"author"`
	At       time.Time `json:"at"`
}

// ActiveVersion is the configuration version that an entry instance has applied.
type ActiveVersion struct {
	Entry   table.InstanceID `json:"entry"`
	Version table.Version    `json:"version"`
	// Reachable is false if the entry instance did not answer.
	Reachable bool `json:"asked"`
}

// ConfigurationView is the accepted configuration and the version that each entry instance has applied.
type ConfigurationView struct {
	Configuration
	Version        table.Version   `json:"version"`
	ActiveVersions []ActiveVersion `json:"inForce"`
}

// VersionCollector asks the given entry instances which configuration version they have applied.
type VersionCollector interface {
	InForce(ctx context.Context, entries []table.Member) []ActiveVersion
}

// AcceptConfiguration validates a configuration and commits it if the accepted version is still the one that the operator saw.
func (mg *Manager) AcceptConfiguration(ctx context.Context, author Name, document string, expected table.Version) (table.Version, error) {
	if _, err := settings.ParseFleet([]byte(document)); err != nil {
		return 0, &RefusedError{Message: "the configuration is invalid", Findings: parseFindings(err)}
	}
	raw, err := table.Encode(Configuration{Document: document, Author: author, At: mg.now().UTC()})
	if err != nil {
		return 0, err
	}
	wt := table.Write{Table: table.TableSetting, Key: configurationKey, IfVersion: expected, Value: raw}
	version, err := table.CommitOnce(ctx, mg.table, table.Audit{Actor: string(author), Action: "acceptConfiguration", Subject: configurationKey, Why: fmt.Sprintf("over version %d", expected), At: mg.now().UTC()}, wt)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		// Merge the conflicting row, so that the operator's next read from this entry instance shows it.
		mg.cache.Merge(conflict.Rows[:1], 0)
		return 0, &RefusedError{Message: "another configuration was accepted in the meantime", Findings: []string{conflictText(conflict)}}
	}
	if err != nil {
		return 0, err
	}
	mg.cache.Committed([]table.Row{{Table: wt.Table, Key: wt.Key, Version: version, Value: raw}})
	return version, nil
}

func conflictText(conflict *table.ConflictError) string {
	cf, err := table.Decode[Configuration](conflict.Rows[0])
	if err != nil {
		return conflict.Error()
	}
	return fmt.Sprintf("version %d by %s at %s", conflict.Rows[0].Version, cf.Author, cf.At.Format(time.RFC3339))
}

func parseFindings(err error) []string {
	var findings settings.Findings
	if !errors.As(err, &findings) {
		return []string{err.Error()}
	}
	texts := make([]string, len(findings))
	for ix, fd := range findings {
		texts[ix] = fd.String()
	}
	return texts
}

// ActiveSettings holds the fleet settings that this entry instance has applied. They are never replaced by an older version.
type ActiveSettings struct {
	log     *event.Logger
	apply   func(*settings.Fleet)
	current atomic.Pointer[settingsVersion]
}

type settingsVersion struct {
	version table.Version
	fleet   *settings.Fleet
}

// NewActiveSettings starts with the default settings. It calls apply with every newer configuration.
func NewActiveSettings(lg *event.Logger, apply func(*settings.Fleet)) *ActiveSettings {
	as := &ActiveSettings{log: lg, apply: apply}
	fleet, err := settings.ParseFleet([]byte("{}"))
	if err != nil {
		// The defaults are compiled in, so an error is a programming error.
		panic(err)
	}
	as.current.Store(&settingsVersion{fleet: fleet})
	return as
}

// InForce returns the applied settings and their version; the version is 0 for the defaults.
func (as *ActiveSettings) InForce() (table.Version, *settings.Fleet) {
	cur := as.current.Load()
	return cur.version, cur.fleet
}

// Update applies the configuration of a snapshot if it is newer.
func (as *ActiveSettings) Update(sn *table.Snapshot) {
	rw := sn.Rows[table.RowKey{Table: table.TableSetting, Key: configurationKey}]
	before := as.current.Load()
	if rw.Version <= before.version {
		return
	}
	cf, err := table.Decode[Configuration](rw)
	if err != nil {
		as.log.Emit(event.RowRejected, zap.String("key", configurationKey), zap.Error(err))
		return
	}
	fleet, err := settings.ParseFleet([]byte(cf.Document))
	if err != nil {
		as.log.Emit(event.RowRejected, zap.String("key", configurationKey), zap.Error(err))
		return
	}
	if !as.current.CompareAndSwap(before, &settingsVersion{version: rw.Version, fleet: fleet}) {
		as.Update(sn)
		return
	}
	as.apply(fleet)
	as.log.Emit(event.ConfigurationSeen, zap.Uint64("version", uint64(rw.Version)))
}

// NewPlanner returns a planner that uses the given fleet settings.
func NewPlanner(ft *settings.Fleet) Planner {
	return Planner{
		Weights: Weights{Moves: ft.WeightMoves, Buffer: ft.WeightBuffer, Time: ft.WeightTime},
		Timing:  Timing{MeanSessionDuration: ft.SessionLength, RebootDuration: ft.RebootTime, CloseDurations: ft.CloseTimes, MaxPlanDuration: ft.LongestPlan},
	}
}

func (sv *Server) configuration(wr http.ResponseWriter, rq *http.Request) {
	sn := sv.snapshots.Snapshot()
	rw := sn.Rows[table.RowKey{Table: table.TableSetting, Key: configurationKey}]
	vw := ConfigurationView{Version: rw.Version, ActiveVersions: sv.versions.InForce(rq.Context(), sn.Entries())}
	if rw.Version > 0 {
		// A row that cannot be decoded is shown as an empty configuration with its version.
		vw.Configuration, _ = table.Decode[Configuration](rw)
	}
	writeJSON(wr, http.StatusOK, vw)
}

// AcceptRequest is the request body for accepting a configuration.
type AcceptRequest struct {
	Document string `json:"document"`
	// ExpectedVersion is the accepted version that the operator saw, or 0 if no configuration has been accepted yet.
	ExpectedVersion table.Version `json:"over"`
}

func (sv *Server) acceptConfiguration(wr http.ResponseWriter, rq *http.Request) {
	var call AcceptRequest
	if !decodeRequest(wr, rq, &call) {
		return
	}
	version, err := sv.manager.AcceptConfiguration(rq.Context(), operatorFromContext(rq.Context()), call.Document, call.ExpectedVersion)
	if err != nil {
		writeError(wr, err)
		return
	}
	wr.Header().Set("Etag", strconv.FormatUint(uint64(version), 10))
	writeJSON(wr, http.StatusOK, ConfigurationView{Configuration: Configuration{Document: call.Document, Author: operatorFromContext(rq.Context())}, Version: version})
}
