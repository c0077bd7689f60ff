package main

import (
	"strconv"
	"strings"
	"time"
)

// gangTime is how long a member waits for the others.
const gangTime = 3 * time.Second

// gang is one run of all tasks of a step that work only together. The world's lock guards its fields.
type gang struct {
	members []*taskRun
	works   bool
	over    bool
}

// gangSize returns the number of members of the gang that a task belongs to, or 0 if its step is none.
func (wd *world) gangSize(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	step, err := strconv.Atoi(parts[2])
	wd.mu.Lock()
	defer wd.mu.Unlock()
	phases := wd.jobs[parts[0]].Phases
	if err != nil || step >= len(phases) || !phases[step].Gang {
		return 0
	}
	return phases[step].Count
}

// join adds a run to its gang, which begins to work once all members are present. The caller holds the lock of the worker.
func (wd *world) join(tr *taskRun, count int, how string) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	key := tr.task[:strings.LastIndex(tr.task, ".")] + "/" + strconv.Itoa(tr.attempt)
	gg := wd.gangs[key]
	if gg == nil || gg.over {
		gg = &gang{}
		wd.gangs[key] = gg
	}
	gg.members, tr.gang = append(gg.members, tr), gg
	tr.timer = time.AfterFunc(gangTime, func() {
		if !wd.gangWorks(gg) {
			tr.wk.endRun(tr, endAlone)
		}
	})
	if len(gg.members) == count {
		gg.works = true
		time.AfterFunc(tr.span, func() { wd.finishGang(gg, how) })
	}
}

func (wd *world) gangWorks(gg *gang) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return gg.works
}

// finishGang ends all members of a gang that still run. If the gang fails, one of them does and the others are broken off.
func (wd *world) finishGang(gg *gang, how string) {
	wd.mu.Lock()
	over, members := gg.over, gg.members
	gg.over = true
	wd.mu.Unlock()
	if over {
		return
	}
	for at, tr := range members {
		if how == endFailed && at > 0 {
			tr.wk.endRun(tr, endBroken)
			continue
		}
		tr.wk.endRun(tr, how)
	}
}
