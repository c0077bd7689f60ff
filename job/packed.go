package job

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The packed form of progress holds what JSON needs several times the room for. It is used for jobs whose progress does not fit in one row, and is
// split over several rows, the first of which says how many there are.

const (
	// packedVersion is the first byte of the packed form.
	packedVersion = 1
	// maxTaskKeyBytes, maxAttemptBytes, maxWorkerRefBytes and maxSpanBytes bound the parts of a packed task: run, step and index; the number of an
	// attempt; the reference to a worker; a time in microseconds.
	maxTaskKeyBytes   = 5
	maxAttemptBytes   = 3
	maxWorkerRefBytes = 3
	maxSpanBytes      = 6
	// maxLostAndOpen is the maximum number of workers that a task has lost or has an unresolved attempt on. From then on it is not started.
	maxLostAndOpen = 13
	// maxCountBytes bounds the counts and flags of a packed task.
	maxCountBytes = 8
	// maxNamedWorkers is the number of workers that the progress of a job may name, and maxWorkerIDBytes the length of their IDs.
	maxNamedWorkers  = 4000
	maxWorkerIDBytes = 40
	// maxStepBytes bounds the key and the length of the done tasks of a step.
	maxStepBytes = 8
)

// errPacked is returned for a packed form that cannot be read.
var errPacked = errors.New("packed progress cannot be read")

// EncodeProgressRows encodes progress in rows of at most maxRow bytes. There is one row unless the progress is too large for it. Otherwise the first
// row has the state and the number of the others.
func EncodeProgressRows(pg *Progress, maxRow int) ([][]byte, error) {
	raw, err := EncodeProgress(pg)
	if err != nil || len(raw) <= maxRow {
		return [][]byte{raw}, err
	}
	packed, err := pack(pg)
	if err != nil {
		return nil, err
	}
	parts := slices.Collect(slices.Chunk(packed, maxRow))
	head, err := EncodeProgress(&Progress{State: pg.State, EndedAt: pg.EndedAt, Parts: len(parts), Checksum: crc32.ChecksumIEEE(packed)})
	return append([][]byte{head}, parts...), err
}

// DecodeProgressRows decodes what EncodeProgressRows returned.
func DecodeProgressRows(rows [][]byte) (*Progress, error) {
	head, err := DecodeProgress(rows[0])
	if err != nil || head.Parts == 0 {
		return head, err
	}
	if len(rows) != 1+head.Parts {
		return nil, fmt.Errorf("%w: %d of %d parts", errPacked, len(rows)-1, head.Parts)
	}
	packed := bytes.Join(rows[1:], nil)
	if crc32.ChecksumIEEE(packed) != head.Checksum {
		return nil, fmt.Errorf("%w: the parts are not those that the first row names", errPacked)
	}
	pg, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	pg.State, pg.EndedAt = head.State, head.EndedAt
	return pg, nil
}

// MaxProgressBytes returns the maximum number of bytes that the progress of a job takes, if a task may fail a number of times less one and the job
// goes on. The runs that are open at once have at most MaxTasks tasks, or there is one.
func (sp *Spec) MaxProgressBytes(maxAttempts int) int {
	tasks, perRun := 0, 0
	for _, st := range sp.Steps {
		perTask := maxTaskKeyBytes + maxAttemptBytes + maxCountBytes + maxLostAndOpen*maxWorkerRefBytes + 2*maxSpanBytes
		perTask += (max(1, maxAttempts) - 1) * (maxAttemptBytes + maxWorkerRefBytes)
		if st.Gang {
			perTask += maxLostAndOpen * maxAttemptBytes
		}
		tasks += st.Count
		perRun += maxStepBytes + st.Count/8 + 1 + st.Count*perTask
	}
	open := min(sp.RunCount(), MaxOpenRuns(tasks))
	named := min(maxNamedWorkers, open*tasks*(maxLostAndOpen+max(1, maxAttempts)))
	return maxStepBytes + sp.RunCount()/8 + 1 + named*maxWorkerIDBytes + open*perRun
}

// MaxOpenRuns returns how many runs of a number of tasks may be open at once.
func MaxOpenRuns(tasks int) int { return max(1, MaxTasks/max(1, tasks)) }

// packedTask is what the progress holds of one task.
type packedTask struct {
	task     Task
	attempt  Attempt
	failed   []string
	losses   *Losses
	unsolved []unsolved
}

// unsolved is a worker on which the outcome of an attempt is not known.
type unsolved struct {
	worker  string
	started bool
}

// packer builds the packed form. Workers are named once and referred to by number.
type packer struct {
	body  []byte
	refs  map[string]uint64
	names []string
}

func pack(pg *Progress) ([]byte, error) {
	tasks, err := pg.tasks()
	if err != nil {
		return nil, err
	}
	pk := &packer{refs: map[string]uint64{}}
	pk.bytes(pg.CompletedRuns)
	pk.number(uint64(len(pg.DoneTasks)))
	for _, key := range slices.Sorted(maps.Keys(pg.DoneTasks)) {
		tk, err := parseKey(key, 2)
		if err != nil {
			return nil, err
		}
		pk.number(uint64(tk.Run))
		pk.number(uint64(tk.Step))
		pk.bytes(pg.DoneTasks[key])
	}
	pk.number(uint64(len(tasks)))
	for _, pt := range tasks {
		pk.task(pt)
	}
	head := &packer{body: []byte{packedVersion}}
	head.number(uint64(len(pk.names)))
	for _, name := range pk.names {
		head.bytes([]byte(name))
	}
	return append(head.body, pk.body...), nil
}

func (pk *packer) number(value uint64) { pk.body = binary.AppendUvarint(pk.body, value) }

func (pk *packer) bytes(value []byte) {
	pk.number(uint64(len(value)))
	pk.body = append(pk.body, value...)
}

// ref adds a reference to a name. 0 refers to none.
func (pk *packer) ref(name string) uint64 {
	if name == "" {
		return 0
	}
	if _, known := pk.refs[name]; !known {
		pk.names = append(pk.names, name)
		pk.refs[name] = uint64(len(pk.names))
	}
	return pk.refs[name]
}

func (pk *packer) task(pt *packedTask) {
	pk.number(uint64(pt.task.Run))
	pk.number(uint64(pt.task.Step))
	pk.number(uint64(pt.task.Index))
	pk.number(uint64(pt.attempt))
	pk.number(uint64(len(pt.failed)))
	for _, name := range pt.failed {
		number, worker, _ := strings.Cut(name, "@")
		attempt, err := strconv.ParseUint(number, 10, 32)
		if err != nil || attempt == 0 {
			// A name of another form is kept whole.
			attempt, worker = 0, name
		}
		pk.number(attempt)
		pk.number(pk.ref(worker))
	}
	pk.number(uint64(len(pt.unsolved)))
	for _, un := range pt.unsolved {
		pk.number(pk.ref(un.worker)<<1 | flag(un.started))
	}
	pk.losses(pt.losses)
}

// Flags of packed losses.
const (
	hasLosses = 1 << iota
	hasLate
	hasSuspect
)

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

func (pk *packer) losses(lo *Losses) {
	if lo == nil {
		pk.number(0)
		return
	}
	pk.number(hasLosses | flag(lo.Late)*hasLate | flag(lo.Suspect)*hasSuspect)
	pk.number(uint64(len(lo.Workers)))
	for _, id := range lo.Workers {
		pk.number(pk.ref(id))
	}
	for _, count := range []int{lo.WeakCount, lo.ObservedCount, lo.ExplainedCount} {
		pk.number(uint64(max(0, count)))
	}
	for _, span := range []time.Duration{lo.LostAfter, lo.LongestRun} {
		pk.number(uint64(max(0, span.Microseconds())))
	}
	pk.number(uint64(len(lo.GangAttempts)))
	for _, attempt := range lo.GangAttempts {
		pk.number(uint64(attempt))
	}
	pk.number(pk.ref(lo.LegacyUnresolved))
}

// tasks collects what the progress holds of each task, sorted.
func (pg *Progress) tasks() ([]*packedTask, error) {
	byTask := map[Task]*packedTask{}
	of := func(tk Task) *packedTask {
		if byTask[tk] == nil {
			byTask[tk] = &packedTask{task: tk}
		}
		return byTask[tk]
	}
	var errs []error
	ofKey := func(key string) *packedTask {
		tk, err := parseKey(key, 3)
		errs = append(errs, err)
		return of(tk)
	}
	for key, failed := range pg.FailedAttempts {
		ofKey(key).failed = failed
	}
	for key, attempt := range pg.Attempts {
		ofKey(key).attempt = attempt
	}
	for key, lo := range pg.Losses {
		ofKey(key).losses = &lo
	}
	for _, id := range slices.Sorted(maps.Keys(pg.Unresolved)) {
		for key, bits := range pg.Unresolved[id] {
			tk, err := parseKey(key, 2)
			errs = append(errs, err)
			for tk.Index = range 8 * len(bits) {
				if bits.Has(tk.Index) {
					pt := of(tk)
					pt.unsolved = append(pt.unsolved, unsolved{id, pg.Started[id][key].Has(tk.Index)})
				}
			}
		}
	}
	list := slices.SortedFunc(maps.Values(byTask), func(one, other *packedTask) int {
		return cmp.Or(cmp.Compare(one.task.Run, other.task.Run), cmp.Compare(one.task.Step, other.task.Step), cmp.Compare(one.task.Index, other.task.Index))
	})
	return list, errors.Join(errs...)
}

// parseKey parses a StepKey, which has two numbers, or a TaskKey, which has three.
func parseKey(key string, numbers int) (Task, error) {
	fields := strings.Split(key, ".")
	if len(fields) != numbers {
		return Task{}, fmt.Errorf("%w: key %q", errPacked, key)
	}
	var values [3]int
	for at, field := range fields {
		value, err := strconv.Atoi(field)
		if err != nil || value < 0 {
			return Task{}, fmt.Errorf("%w: key %q", errPacked, key)
		}
		values[at] = value
	}
	return Task{Run: values[0], Step: values[1], Index: values[2]}, nil
}

// unpacker reads the packed form. After an error all reads return zero values.
type unpacker struct {
	rest  []byte
	names []string
	err   error
}

func unpack(raw []byte) (*Progress, error) {
	if len(raw) == 0 || raw[0] != packedVersion {
		return nil, fmt.Errorf("%w: unknown version", errPacked)
	}
	up := &unpacker{rest: raw[1:]}
	for range up.count() {
		up.names = append(up.names, string(up.bytes()))
	}
	pg := &Progress{CompletedRuns: Bitset(up.bytes())}
	for range up.count() {
		key := StepKey(up.int(), up.int())
		put(&pg.DoneTasks, key, Bitset(up.bytes()))
	}
	for range up.count() {
		up.task(pg)
	}
	if up.err == nil && len(up.rest) > 0 {
		up.fail()
	}
	return pg, up.err
}

func (up *unpacker) fail() {
	if up.err == nil {
		up.err = fmt.Errorf("%w: %d bytes are left", errPacked, len(up.rest))
	}
	up.rest = nil
}

func (up *unpacker) number() uint64 {
	value, length := binary.Uvarint(up.rest)
	if length <= 0 {
		up.fail()
		return 0
	}
	up.rest = up.rest[length:]
	return value
}

// int reads a number that fits in 32 bits.
func (up *unpacker) int() int {
	value := up.number()
	if value > 1<<31-1 {
		up.fail()
		return 0
	}
	return int(value)
}

// count reads the number of items that follow, each of which has at least one byte.
func (up *unpacker) count() int {
	value := up.int()
	if value > len(up.rest) {
		up.fail()
		return 0
	}
	return value
}

func (up *unpacker) bytes() []byte {
	length := up.count()
	if length == 0 {
		return nil
	}
	value := slices.Clone(up.rest[:length])
	up.rest = up.rest[length:]
	return value
}

// name returns the name that a reference refers to.
func (up *unpacker) name(ref uint64) string {
	if ref == 0 {
		return ""
	}
	if ref > uint64(len(up.names)) {
		up.fail()
		return ""
	}
	return up.names[ref-1]
}

func (up *unpacker) task(pg *Progress) {
	tk := Task{Run: up.int(), Step: up.int(), Index: up.int()}
	if tk.Run >= MaxRepeats || tk.Step >= MaxSteps || tk.Index >= MaxTasks {
		up.fail()
		return
	}
	key := TaskKey(tk)
	if attempt := Attempt(up.int()); attempt > 0 {
		put(&pg.Attempts, key, attempt)
	}
	var failed []string
	for range up.count() {
		attempt, worker := up.int(), up.name(up.number())
		switch {
		case attempt == 0:
			failed = append(failed, worker)
		case worker == "":
			failed = append(failed, strconv.Itoa(attempt))
		default:
			failed = append(failed, strconv.Itoa(attempt)+"@"+worker)
		}
	}
	if len(failed) > 0 {
		put(&pg.FailedAttempts, key, failed)
	}
	for range up.count() {
		ref := up.number()
		worker := up.name(ref >> 1)
		addUnresolved(&pg.Unresolved, worker, tk)
		if ref&1 == 1 {
			addUnresolved(&pg.Started, worker, tk)
		}
	}
	up.losses(pg, key)
}

func (up *unpacker) losses(pg *Progress, key string) {
	flags := up.number()
	if flags&hasLosses == 0 {
		return
	}
	lo := Losses{Late: flags&hasLate != 0, Suspect: flags&hasSuspect != 0}
	for range up.count() {
		lo.Workers = append(lo.Workers, up.name(up.number()))
	}
	lo.WeakCount, lo.ObservedCount, lo.ExplainedCount = up.int(), up.int(), up.int()
	lo.LostAfter, lo.LongestRun = time.Duration(up.number())*time.Microsecond, time.Duration(up.number())*time.Microsecond
	for range up.count() {
		lo.GangAttempts = append(lo.GangAttempts, Attempt(up.int()))
	}
	lo.LegacyUnresolved = up.name(up.number())
	put(&pg.Losses, key, lo)
}

// addUnresolved adds a task to those with an unresolved attempt on a worker.
func addUnresolved(attempts *map[string]map[string]Bitset, worker string, tk Task) {
	steps := (*attempts)[worker]
	bits := steps[StepKey(tk.Run, tk.Step)]
	bits.Set(tk.Index)
	put(&steps, StepKey(tk.Run, tk.Step), bits)
	put(attempts, worker, steps)
}

// put sets an entry of a map that may be nil.
func put[V any](entries *map[string]V, key string, value V) {
	if *entries == nil {
		*entries = map[string]V{}
	}
	(*entries)[key] = value
}
