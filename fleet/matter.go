package fleet

import (
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// slowCommit is from when on a transaction is told in the log; one takes some 4 ms on a store that is fast.
const slowCommit = 100 * time.Millisecond

// matter is what a transaction is for.
type matter string

const (
	matterIntake   matter = "intake"
	matterProgress matter = "progress"
	matterCell     matter = "cell"
	matterBeat     matter = "beat"
	matterMachines matter = "machines"
	matterAccounts matter = "accounts"
	matterOther    matter = "other"
)

var matters = []matter{matterIntake, matterProgress, matterCell, matterBeat, matterMachines, matterAccounts, matterOther}

// matterOf tells what a transaction is for, and in which part.
func matterOf(tx Tx) (matter, string) {
	if len(tx.Write) == 0 {
		return matterOther, ""
	}
	first := tx.Write[0]
	switch {
	case first.Table == tableHome:
		return matterIntake, first.Part
	case first.Table == tableProgress:
		return matterProgress, first.Part
	case first.Table == tableAccount:
		return matterAccounts, first.Part
	case first.Table != tableControl:
		return matterOther, first.Part
	case first.Part == machinesCell:
		return matterMachines, first.Part
	case first.Key == ownerKey:
		return matterCell, first.Part
	}
	return matterBeat, first.Part
}

// tell counts a transaction, and writes down one that took long or failed.
func (sc *storeClient) tell(tx Tx, span time.Duration, err error) {
	mt, part := matterOf(tx)
	sc.metrics.commits[mt].Update(span.Microseconds())
	word := carryOutcome(err)
	if word == carryNoAnswer {
		sc.metrics.unanswered[mt].Inc(1)
	}
	if span < slowCommit && (word == carryDone || word == carryConflict) {
		return
	}
	sc.log.Emit(event.StoreSlow, zap.String("matter", string(mt)), zap.String("part", part), zap.Int("rows", len(tx.Write)), zap.Duration("took", span), zap.String("outcome", word))
}
