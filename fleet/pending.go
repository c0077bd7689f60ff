package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Counts of pending jobs. The jobs of a queue wait in the cell of its pool. If the configuration has moved the queue, those accepted
// before wait in the cells of its former pools, which every instance learns from the configurations that it sees and from the rows of the
// owners.

// pendingCounts caches the counts of pending jobs that peers returned.
type pendingCounts struct {
	mu     sync.Mutex // guards the fields below
	counts map[queueInCell]pendingCount
	// formerCells holds the cells in which jobs of a queue may wait besides that of its pool.
	formerCells map[job.QueueID][]string
}

// queueInCell names the jobs of a queue that a cell holds.
type queueInCell struct {
	Queue job.QueueID `json:"queue"`
	Cell  string      `json:"cell"`
}

type pendingCount struct {
	count     int
	fetchedAt time.Time
}

// addFormerCells adds cells in which jobs of queues may wait.
func (pc *pendingCounts) addFormerCells(list ...queueInCell) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for _, qc := range list {
		if slices.Contains(pc.formerCells[qc.Queue], qc.Cell) {
			continue
		}
		if pc.formerCells == nil {
			pc.formerCells = map[job.QueueID][]string{}
		}
		pc.formerCells[qc.Queue] = append(pc.formerCells[qc.Queue], qc.Cell)
	}
}

// addMoves adds the former cells of the queues that a new configuration moves or renames.
func (pc *pendingCounts) addMoves(old, cf *job.Configuration) {
	for _, qu := range cf.Queues {
		for _, former := range old.Queues {
			if former.ID != qu.ID && (former.Host != qu.Host || former.PathPrefix != qu.PathPrefix) {
				continue
			}
			if former.Pool != qu.Pool {
				pc.addFormerCells(queueInCell{qu.ID, cellName(former.Pool)})
			}
			for _, name := range pc.cells(&former)[1:] {
				pc.addFormerCells(queueInCell{qu.ID, name})
			}
		}
	}
}

// cells returns the cells in which jobs of a queue may wait, that of its pool first.
func (pc *pendingCounts) cells(queue *job.Queue) []string {
	own := cellName(queue.Pool)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	names := []string{own}
	for _, name := range pc.formerCells[queue.ID] {
		if name != own {
			names = append(names, name)
		}
	}
	return names
}

func (pc *pendingCounts) get(qc queueInCell) (pendingCount, bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	last, known := pc.counts[qc]
	return last, known
}

func (pc *pendingCounts) put(qc queueInCell, count pendingCount) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.counts == nil {
		pc.counts = map[queueInCell]pendingCount{}
	}
	pc.counts[qc] = count
}

// Pending returns the number of a queue's jobs that have not started.
func (fl *Fleet) Pending(ctx context.Context, queue *job.Queue) (int, error) {
	total := 0
	for at, name := range fl.pending.cells(queue) {
		count, err := fl.pendingIn(ctx, queueInCell{queue.ID, name})
		switch {
		case err == nil:
			total += count
		case at == 0 || slices.Contains(fl.cellNames(), name):
			return 0, err
		}
		// Nobody takes over the cell of a pool that is gone, so that its jobs never start.
	}
	return total, nil
}

// pendingIn returns the number of pending jobs of a queue in one cell.
func (fl *Fleet) pendingIn(ctx context.Context, qc queueInCell) (int, error) {
	if ow := fl.ownerOf(qc.Cell); ow != nil {
		if count, ok := ow.pending(qc.Queue); ok {
			return count, nil
		}
		return 0, ErrUnavailable
	}
	now := fl.opts.Now()
	last, known := fl.pending.get(qc)
	if known && now.Sub(last.fetchedAt) < pendingCacheTTL {
		return last.count, nil
	}
	count, ok := fl.peers.pending(ctx, qc.Cell, qc.Queue)
	if !ok {
		if known && now.Sub(last.fetchedAt) < pendingMaxStale {
			return last.count, nil
		}
		return 0, ErrUnavailable
	}
	fl.pending.put(qc, pendingCount{count, now})
	return count, nil
}

// pending returns the number of a queue's jobs that have not started, or false if the cell is not loaded.
func (ow *owner) pending(queue job.QueueID) (int, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.jobs.loaded() || ow.lost.Load() || len(ow.events) > 0 && !ow.planned {
		return 0, false
	}
	return ow.core.Pending(queue), true
}

// movedQueues returns the queues with pending jobs in the cells owned here that the configuration sends elsewhere.
func (fl *Fleet) movedQueues() []queueInCell {
	var list []queueInCell
	for _, ow := range fl.allOwners() {
		for _, id := range ow.movedQueues() {
			list = append(list, queueInCell{id, ow.name})
		}
	}
	slices.SortFunc(list, func(one, other queueInCell) int {
		return cmp.Or(cmp.Compare(one.Queue, other.Queue), cmp.Compare(one.Cell, other.Cell))
	})
	return list
}

// movedQueues returns the queues with pending jobs in the cell that the configuration sends elsewhere, as far as they are known.
func (ow *owner) movedQueues() []job.QueueID {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if !ow.planned || ow.lost.Load() {
		return nil
	}
	return ow.core.MovedQueues()
}
