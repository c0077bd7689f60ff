package job

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
)

// Progress is what is kept of a job's course: which tasks have ended well, and how often others have failed.
// Everything else is found again at the workers.
type Progress struct {
	// State is set once the job has ended.
	State State `json:"state,omitempty"`
	// EndedAt is when it ended, by the owner's clock; its rows are removed some time after.
	EndedAt time.Time `json:"endedAt,omitzero"`
	// CompletedRuns holds the runs all of whose tasks have ended well.
	CompletedRuns Bitset `json:"runsDone,omitempty"`
	// DoneTasks holds a bitmap for each step of each run that has begun, by run and step.
	DoneTasks map[string]Bitset `json:"done,omitempty"`
	// FailedAttempts names the failed attempts with their workers, by run, step and index. An end that a worker lists again,
	// since it was kept but not acknowledged, counts once.
	FailedAttempts map[string][]string `json:"failed,omitempty"`
	// Attempts is the highest attempt known of tasks that are not done and had more than one.
	Attempts map[string]Attempt `json:"attempts,omitempty"`
	// Losses says of tasks which workers ended under them, by run, step and index.
	Losses map[string]Losses `json:"lost,omitempty"`
	// Unresolved names the lives of workers of which it is not known what became of attempts there, with a bitmap of these tasks for each step of each
	// run: they were about to be started there, or ran when the worker fell silent.
	Unresolved map[string]map[string]Bitset `json:"open,omitempty"`
}

// Losses are the workers that ended while a task was on them.
type Losses struct {
	// Workers names the lives that broke off while it ran, Weak counts those that tell little of a cause.
	Workers   []string `json:"workers,omitempty"`
	WeakCount int      `json:"weak,omitempty"`
	// Late means that one of them ended a while after its start.
	Late bool `json:"late,omitempty"`
	// Suspect means that the task may have caused it.
	Suspect bool `json:"suspect,omitempty"`
	// LongestRun is the longest time that a task which lasts had run when a worker ended under it and that was not laid to it.
	LongestRun time.Duration `json:"ran,omitempty"`
	// LegacyUnresolved is the one life that rows of the former version name in place of open ones.
	LegacyUnresolved string `json:"leftOn,omitempty"`
}

// Bitset is a set of small numbers, kept as base64 text.
type Bitset []byte

// Set adds a number.
func (bt *Bitset) Set(at int) {
	for len(*bt) <= at/8 {
		*bt = append(*bt, 0)
	}
	(*bt)[at/8] |= 1 << (at % 8)
}

// Has reports whether a number is in the set.
func (bt Bitset) Has(at int) bool {
	return at/8 < len(bt) && bt[at/8]&(1<<(at%8)) != 0
}

// MarshalText writes the set as base64.
func (bt Bitset) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(bt)), nil
}

// UnmarshalText reads what MarshalText wrote.
func (bt *Bitset) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	*bt = raw
	return err
}

// StepKey is the key of a step of a run in a progress row.
func StepKey(run, step int) string {
	return fmt.Sprintf("%d.%d", run, step)
}

// TaskKey is the key of a task in a progress row.
func TaskKey(tk Task) string {
	return fmt.Sprintf("%d.%d.%d", tk.Run, tk.Step, tk.Index)
}

// EncodeSpec returns a job's row.
func EncodeSpec(sp *Spec) ([]byte, error) { return json.Marshal(sp) }

// DecodeSpec reads a job's row.
func DecodeSpec(raw []byte) (*Spec, error) {
	sp := &Spec{}
	if err := json.Unmarshal(raw, sp); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	return sp, sp.Validate()
}

// EncodeProgress returns a progress row.
func EncodeProgress(pg *Progress) ([]byte, error) { return json.Marshal(pg) }

// DecodeProgress reads a progress row.
func DecodeProgress(raw []byte) (*Progress, error) {
	pg := &Progress{}
	if err := json.Unmarshal(raw, pg); err != nil {
		return nil, fmt.Errorf("progress row: %w", err)
	}
	return pg, nil
}
