package fleet

import (
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// Rejected notes a call that was refused since its key is none that the configuration holds. The log names the key's fingerprint only.
func (fl *Fleet) LogRejectedKey(qu *job.Queue, key string) {
	fl.metrics.keysRejected.Inc(1)
	shown := "none"
	if key != "" {
		shown = job.NewKey(key).Fingerprint()
	}
	fl.opts.Log.Emit(event.KeyRejected, zap.String("queue", string(qu.ID)), zap.String("key", shown))
}

// tellShared logs the keys that several organisations of a configuration hold.
func (fl *Fleet) logSharedKeys(cf *job.Configuration) {
	if cf.Organisations == nil {
		return
	}
	for _, ky := range cf.Organisations.SharedKeys() {
		fl.opts.Log.Emit(event.KeyShared, zap.Int64("version", cf.Version), zap.String("key", ky.Fingerprint()))
	}
}
