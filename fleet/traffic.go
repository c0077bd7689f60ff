package fleet

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"path"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenseam/aspenseam/event"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// bytesEvery is how often the log tells what moved; a line takes some 400 bytes.
const trafficLogInterval = 2 * time.Second

// Traffic counts what an instance's connections move, by the kind of call. It implements tcp.Meter.
type Traffic struct {
	registry metrics.Registry
	kinds    sync.Map // of string to *moved
}

// moved is what one kind of call has moved.
type trafficCount struct {
	out, in atomic.Int64
	// toldOut and toldIn are what the log has told of.
	loggedOut, loggedIn int64
}

// NewTraffic returns counters that show in a registry.
func NewTraffic(registry metrics.Registry) *Traffic { return &Traffic{registry: registry} }

// Moved counts bytes.
func (tr *Traffic) Moved(kind string, out, in int) {
	found, known := tr.kinds.Load(kind)
	if !known {
		fresh := &trafficCount{}
		if found, known = tr.kinds.LoadOrStore(kind, fresh); !known {
			tr.registerGauge("bytes.out."+kind, &fresh.out)
			tr.registerGauge("bytes.in."+kind, &fresh.in)
		}
	}
	tc := found.(*trafficCount)
	tc.out.Add(int64(out))
	tc.in.Add(int64(in))
}

func (tr *Traffic) registerGauge(name string, count *atomic.Int64) {
	tr.registry.GetOrRegister(name, metrics.NewFunctionalGauge(count.Load))
}

// PeerCall names a call to a peer for the counters.
func PeerCall(rq *http.Request) string { return "peer." + path.Base(rq.URL.Path) }

// share is what one kind moved since the last line of the log.
type trafficDelta struct {
	kind    string
	out, in int64
}

// shares returns what moved since it was last asked, the most first. It is for one caller at a time.
func (tr *Traffic) deltas() []trafficDelta {
	var list []trafficDelta
	tr.kinds.Range(func(kind, value any) bool {
		tc := value.(*trafficCount)
		out, in := tc.out.Load(), tc.in.Load()
		if out != tc.loggedOut || in != tc.loggedIn {
			list = append(list, trafficDelta{kind.(string), out - tc.loggedOut, in - tc.loggedIn})
		}
		tc.loggedOut, tc.loggedIn = out, in
		return true
	})
	slices.SortFunc(list, func(one, other trafficDelta) int {
		return cmp.Or(cmp.Compare(other.out+other.in, one.out+one.in), cmp.Compare(one.kind, other.kind))
	})
	return list
}

// tellBytes logs what moved until the context ends.
func (fl *Fleet) logTraffic(ctx context.Context) {
	if fl.opts.Bytes == nil {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, trafficLogInterval)
		var out, in int64
		var kinds []string
		for _, td := range fl.opts.Bytes.deltas() {
			out, in = out+td.out, in+td.in
			if len(kinds) < trafficLogKinds {
				kinds = append(kinds, fmt.Sprintf("%s %d/%d", td.kind, td.out, td.in))
			}
		}
		fl.opts.Log.Emit(event.BytesMoved, zap.Int64("out", out), zap.Int64("in", in), zap.Strings("kinds", kinds))
	}
}

// bytesKinds is how many kinds a line of the log names.
const trafficLogKinds = 10
