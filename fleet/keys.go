package fleet

import (
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/job"
	"go.uber.org/zap"
)

// LogRejectedKey counts and logs a call that was refused because its key is missing or unknown. The log has only the key's
// fingerprint.
func (fl *Fleet) LogRejectedKey(qu *job.Queue, key string) {
	fl.metrics.keysRejected.Inc(1)
	shown := "none"
	if key != "" {
		shown = job.NewKey(key).Fingerprint()
	}
	fl.opts.Log.Emit(event.KeyRejected, zap.String("queue", string(qu.ID)), zap.String("key", shown))
}

// logSharedKeys logs the keys of a configuration that belong to several organisations.
func (fl *Fleet) logSharedKeys(cf *job.Configuration) {
	if cf.Organisations == nil {
		return
	}
	for _, ky := range cf.Organisations.SharedKeys() {
		fl.opts.Log.Emit(event.KeyShared, zap.Int64("version", cf.Version), zap.String("key", ky.Fingerprint()))
	}
}
