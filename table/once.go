package table

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// commitAgain is the pause before a transaction whose answer was lost is sent again.
const commitAgain = 50 * time.Millisecond

// CommitOnce applies a transaction with a line of audit at most once, however often its answer is lost.
// The audit row is inserted in the transaction and so tells later whether it was applied.
func CommitOnce(ctx context.Context, table Table, au Audit, writes ...Write) (Version, error) {
	audit, err := AuditWrite(au)
	if err != nil {
		return 0, err
	}
	tx := Tx{Writes: append(append([]Write{}, writes...), audit)}
	for {
		version, err := table.Commit(ctx, tx)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return appliedEarlier(conflict, audit.Key)
		}
		if err == nil || ctx.Err() != nil {
			return version, err
		}
		select {
		case <-time.After(commitAgain):
		case <-ctx.Done():
			return 0, eris.Wrap(ErrLost, "time is over")
		}
	}
}

// appliedEarlier turns a conflict into success when the audit row shows that an earlier sending was applied.
func appliedEarlier(conflict *ConflictError, key string) (Version, error) {
	for _, rw := range conflict.Rows {
		if rw.Table == TableAudit && rw.Key == key {
			return rw.Version, nil
		}
	}
	return 0, conflict
}
