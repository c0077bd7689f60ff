package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/machine"
	"go.uber.org/zap"
)

const (
	// forecastKey is the key of the row with the learned turns.
	forecastKey = "forecast"
	// forecastSaveInterval is the minimum interval between two writes of the row.
	forecastSaveInterval = 2 * time.Second
	// forecastMaxAge is the age above which a row is not used: what it knows may not hold any more.
	forecastMaxAge = 10 * time.Minute
	// forecastTurnMaxAge bounds how long before the write a turn of the row may have begun, forecastDemandMax its demand in machines.
	forecastTurnMaxAge = 24 * time.Hour
	forecastDemandMax  = 1e6
)

// forecastRow is the stored form of the learned turns, for the next leader of the machine controller.
type forecastRow struct {
	// At is the wall clock's time of the write. The times of turns are relative to it, since monotonic clocks differ between instances.
	At    time.Time      `json:"at"`
	Turns []forecastTurn `json:"turns"`
}

// forecastTurn is one turn in the row.
type forecastTurn struct {
	Pool  job.PoolID    `json:"pool"`
	Began time.Duration `json:"began"`
	// Length is 0 while the turn lasts.
	Length time.Duration `json:"length,omitempty"`
	Rest   float64       `json:"rest"`
	Height float64       `json:"height"`
}

// forecastState is the forecast of the current term of leadership.
type forecastState struct {
	forecast *machine.Forecast
	// logged and saved are the changes that were logged and stored; savedAt is when.
	logged, saved int
	savedAt       time.Time
}

// Errors of rows that are not used.
var (
	errForecastMissing = errors.New("no row")
	errForecastOld     = errors.New("row too old or from the future")
	errForecastInvalid = errors.New("row with turns that cannot have been")
)

// applyForecastRow keeps the newest row for the case that this instance becomes the leader.
func (ct *machineController) applyForecastRow(rw Row) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.forecastRaw = nil
	if !rw.Deleted {
		ct.forecastRaw = rw.Value
	}
}

// poolForecast returns the forecast of this term, nil if the configuration asks for none. The caller holds the lock.
func (ct *machineController) poolForecast(now time.Time, cf *job.Configuration) *machine.Forecast {
	if !ct.fl.opts.Functions.Forecast.Holds(cf) {
		return nil
	}
	if ct.forecast.forecast == nil {
		turns, err := decodeForecast(ct.forecastRaw, now, ct.fl.opts.WallClock())
		if err != nil {
			ct.fl.metrics.forecastsBegun.Inc(1)
		}
		ct.fl.opts.Log.Emit(event.ForecastBegun, zap.Int("turns", len(turns)), zap.NamedError("why", err), zap.Int64("epoch", int64(ct.row.epoch())))
		ct.forecast = forecastState{forecast: machine.NewForecast(turns)}
	}
	return ct.forecast.forecast
}

// decodeForecast returns the turns of a row.
func decodeForecast(raw []byte, now, wall time.Time) ([]machine.Turn, error) {
	if raw == nil {
		return nil, errForecastMissing
	}
	var row forecastRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return nil, err
	}
	age := wall.Sub(row.At)
	if age < -forecastSaveInterval || age > forecastMaxAge {
		return nil, errForecastOld
	}
	// No turn begins after now, however the writer's clock differs.
	age = max(0, age)
	if len(row.Turns) > machine.MaxTurns || !slices.IsSortedFunc(row.Turns, func(one, other forecastTurn) int { return cmp.Compare(other.Began, one.Began) }) {
		return nil, errForecastInvalid
	}
	var turns []machine.Turn
	for _, ft := range row.Turns {
		if !ft.valid() {
			return nil, errForecastInvalid
		}
		tn := machine.Turn{Pool: ft.Pool, Began: now.Add(-age - ft.Began), Rest: ft.Rest, Height: ft.Height}
		if ft.Length > 0 {
			tn.Ended = tn.Began.Add(ft.Length)
		}
		turns = append(turns, tn)
	}
	return turns, nil
}

// valid reports whether a turn can have been: begun before the row was written, ended by then, with a demand that a fleet may have.
func (ft forecastTurn) valid() bool {
	return ft.Began >= 0 && ft.Began <= forecastTurnMaxAge && ft.Length >= 0 && ft.Length <= ft.Began &&
		ft.Rest >= 0 && ft.Rest <= forecastDemandMax && ft.Height >= 0 && ft.Height <= forecastDemandMax
}

// encodeForecast returns the row of turns.
func encodeForecast(turns []machine.Turn, now, wall time.Time) forecastRow {
	row := forecastRow{At: wall.Round(time.Millisecond)}
	for _, tn := range turns {
		ft := forecastTurn{Pool: tn.Pool, Began: now.Sub(tn.Began).Round(time.Millisecond), Rest: roundTenth(tn.Rest), Height: roundTenth(tn.Height)}
		if !tn.Ended.IsZero() {
			ft.Length = tn.Ended.Sub(tn.Began).Round(time.Millisecond)
		}
		row.Turns = append(row.Turns, ft)
	}
	return row
}

func roundTenth(value float64) float64 { return float64(int(value*10+0.5)) / 10 }

// saveForecast logs the newest turn and stores what was learned, if a turn has begun or ended.
func (ct *machineController) saveForecast(now time.Time) {
	ct.mu.Lock()
	fs := &ct.forecast
	if fs.forecast == nil {
		ct.mu.Unlock()
		return
	}
	turns, changes := fs.forecast.Turns(), fs.forecast.Changes()
	begun := changes != fs.logged
	due := changes != fs.saved && now.Sub(fs.savedAt) >= forecastSaveInterval
	fs.logged = changes
	if due {
		fs.saved, fs.savedAt = changes, now
	}
	row := encodeForecast(turns, now, ct.fl.opts.WallClock())
	ct.mu.Unlock()
	if begun && len(row.Turns) > 0 {
		last := row.Turns[len(row.Turns)-1]
		ct.fl.opts.Log.Emit(event.TurnSeen, zap.Int("turns", len(row.Turns)), zap.String("pool", string(last.Pool)), zap.Duration("began", last.Began), zap.Duration("length", last.Length), zap.Float64("rest", last.Rest), zap.Float64("height", last.Height))
		ct.fl.metrics.forecastTurns.Inc(1)
	}
	if due {
		ct.putRow(forecastKey, row)
	}
}

// logPlan logs a plan of pool sizes, a line for each pool that is not at its target or has machines ahead of a turn.
func (ct *machineController) logPlan(report []machine.PoolReport) {
	ahead := 0
	for _, pr := range report {
		ahead += pr.Ahead
		if pr.Current == pr.Target && pr.Ahead == 0 {
			continue
		}
		ct.fl.opts.Log.Emit(event.PoolPlanned, zap.String("pool", string(pr.Pool)), zap.Bool("known", pr.LoadKnown), zap.Float64("needed", pr.Known), zap.Float64("planned", pr.Demand),
			zap.Int("current", pr.Current), zap.Int("target", pr.Target), zap.Int("minimum", pr.Minimum), zap.Int("ahead", pr.Ahead), zap.Bool("lean", pr.Lean), zap.Int("taken", pr.Taken), zap.Int("arriving", pr.Arriving),
			zap.Int("held", pr.Held), zap.Int("coolingDown", pr.CoolingDown), zap.Int("down", pr.Down), zap.Int("busy", pr.Busy), zap.Int("young", pr.Young), zap.Int("unusable", pr.Unusable), zap.Int("free", pr.Free))
	}
	ct.fl.metrics.forecastAhead.Update(int64(ahead))
}
