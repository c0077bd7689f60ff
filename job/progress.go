package job

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
)

// Progress is the stored progress of a job: which tasks are done and which attempts have failed. Everything else is recovered from the workers.
type Progress struct {
	// State is set once the job has ended.
	State State `json:"state,omitempty"`
	// EndedAt is when the job ended, by the owner's clock. Its rows are removed some time later.
	EndedAt time.Time `json:"endedAt,omitzero"`
	// CompletedRuns holds the runs whose tasks are all done.
	CompletedRuns Bitset `json:"runsDone,omitempty"`
	// DoneTasks holds the tasks that are done, by StepKey, for each step of each run that has started.
	DoneTasks map[string]Bitset `json:"done,omitempty"`
	// FailedAttempts holds the failed attempts with their workers, by TaskKey. A worker reports an end again if it was saved but not acknowledged;
	// it is counted once.
	FailedAttempts map[string][]string `json:"failed,omitempty"`
	// Attempts holds the highest known attempt of each task that is not done and had more than one, by TaskKey.
	Attempts map[string]Attempt `json:"attempts,omitempty"`
	// Losses holds the workers that ended while running a task, by TaskKey.
	Losses map[string]Losses `json:"lost,omitempty"`
	// Unresolved holds the tasks with an attempt whose outcome is unknown, by incarnation of the worker and StepKey. The attempt was about to be started
	// on the worker, or was running there when the worker stopped responding.
	Unresolved map[string]map[string]Bitset `json:"open,omitempty"`
	// Started holds those of the unresolved attempts that their workers are known to have started, in the same form.
	Started map[string]map[string]Bitset `json:"started,omitempty"`
	// Parts is the number of rows that hold the progress besides this one, in packed form. All fields but those of the end are empty then.
	Parts int `json:"parts,omitempty"`
	// Checksum is the CRC-32 of what these rows hold. It also tells two first rows apart.
	Checksum uint32 `json:"checksum,omitempty"`
}

// Losses describes the workers that ended while running a task.
type Losses struct {
	// Workers holds the incarnations that crashed while running the task.
	Workers []string `json:"workers,omitempty"`
	// WeakCount is the number of other incarnations that ended, which are weak evidence that the task was the cause.
	WeakCount int `json:"weak,omitempty"`
	// ObservedCount is the number of these at which the task was observed to run on the worker until its end.
	ObservedCount int `json:"observed,omitempty"`
	// ExplainedCount is the number of them that another task is by far the likelier cause of.
	ExplainedCount int `json:"explained,omitempty"`
	// LostAfter is the longest time that an attempt is known to have run when its worker ended.
	LostAfter time.Duration `json:"lostAfter,omitempty"`
	// Late means that one of them ended some time after it started the task.
	Late bool `json:"late,omitempty"`
	// GangAttempts holds the attempts of a gang of which a loss counts.
	GangAttempts []Attempt `json:"gangAttempts,omitempty"`
	// Suspect means that the task may have caused one of them.
	Suspect bool `json:"suspect,omitempty"`
	// LongestRun is the longest time that a long-running task had run when its worker ended without the loss being attributed to the task.
	LongestRun time.Duration `json:"ran,omitempty"`
	// LegacyUnresolved is the incarnation that rows of the previous version hold instead of Progress.Unresolved.
	LegacyUnresolved string `json:"leftOn,omitempty"`
}

// Bitset is a set of small numbers, stored as base64 text.
type Bitset []byte

// Set adds a number to the set.
func (bs *Bitset) Set(bit int) {
	for len(*bs) <= bit/8 {
		*bs = append(*bs, 0)
	}
	(*bs)[bit/8] |= 1 << (bit % 8)
}

// Has reports whether a number is in the set.
func (bs Bitset) Has(bit int) bool {
	return bit/8 < len(bs) && bs[bit/8]&(1<<(bit%8)) != 0
}

// MarshalText encodes the set as base64.
func (bs Bitset) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(bs)), nil
}

// UnmarshalText decodes a set that MarshalText encoded.
func (bs *Bitset) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	*bs = raw
	return err
}

// StepKey returns the key of a step of a run in a progress row.
func StepKey(run, step int) string {
	return fmt.Sprintf("%d.%d", run, step)
}

// TaskKey returns the key of a task in a progress row.
func TaskKey(tk Task) string {
	return fmt.Sprintf("%d.%d.%d", tk.Run, tk.Step, tk.Index)
}

// EncodeSpec encodes a job row.
func EncodeSpec(sp *Spec) ([]byte, error) { return json.Marshal(sp) }

// DecodeSpec decodes and validates a job row.
func DecodeSpec(raw []byte) (*Spec, error) {
	sp := &Spec{}
	if err := json.Unmarshal(raw, sp); err != nil {
		return nil, fmt.Errorf("decode job row: %w", err)
	}
	return sp, sp.Validate()
}

// EncodeProgress encodes a progress row.
func EncodeProgress(pg *Progress) ([]byte, error) { return json.Marshal(pg) }

// DecodeProgress decodes a progress row.
func DecodeProgress(raw []byte) (*Progress, error) {
	pg := &Progress{}
	if err := json.Unmarshal(raw, pg); err != nil {
		return nil, fmt.Errorf("decode progress row: %w", err)
	}
	return pg, nil
}
