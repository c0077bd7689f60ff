package fleet

import (
	"time"

	"github.com/aspenseam/aspenseam/event"
	"go.uber.org/zap"
)

// slowCommitThreshold is the duration from which a transaction is logged. With a fast store a transaction takes about 4 ms.
const slowCommitThreshold = 100 * time.Millisecond

// txKind is the purpose of a transaction, for metrics and logs.
type txKind string

const (
	txIntake    txKind = "intake"
	txProgress  txKind = "progress"
	txCell      txKind = "cell"
	txHeartbeat txKind = "beat"
	txMachines  txKind = "machines"
	txAccounts  txKind = "accounts"
	txOther     txKind = "other"
)

var txKinds = []txKind{txIntake, txProgress, txCell, txHeartbeat, txMachines, txAccounts, txOther}

// txKindOf returns the purpose of a transaction and the part of its first row.
func txKindOf(tx Tx) (txKind, string) {
	if len(tx.Write) == 0 {
		return txOther, ""
	}
	first := tx.Write[0]
	switch {
	case first.Table == tableHome:
		return txIntake, first.Part
	case first.Table == tableProgress:
		return txProgress, first.Part
	case first.Table == tableUsed:
		return txCell, first.Part
	case first.Table == tableAccount:
		return txAccounts, first.Part
	case first.Table != tableControl:
		return txOther, first.Part
	case first.Part == machinesCell:
		return txMachines, first.Part
	case first.Key == ownerKey:
		return txCell, first.Part
	}
	return txHeartbeat, first.Part
}

// reportCommit updates the metrics of a transaction and logs one that was slow or failed.
func (sc *storeClient) reportCommit(tx Tx, elapsed time.Duration, err error) {
	kind, part := txKindOf(tx)
	sc.metrics.commits[kind].Update(elapsed.Microseconds())
	outcome := carryOutcome(err)
	if outcome == carryNoAnswer {
		sc.metrics.unanswered[kind].Inc(1)
	}
	if elapsed < slowCommitThreshold && (outcome == carryDone || outcome == carryConflict) {
		return
	}
	sc.log.Emit(event.StoreSlow, zap.String("matter", string(kind)), zap.String("part", part), zap.Int("rows", len(tx.Write)), zap.Duration("took", elapsed), zap.String("outcome", outcome))
}
