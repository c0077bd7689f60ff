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

// trafficLogInterval is how often the traffic is logged; a line takes about 400 bytes.
const trafficLogInterval = 2 * time.Second

// Traffic counts the bytes that an instance's connections transfer, by the kind of call. It implements tcp.Meter.
type Traffic struct {
	registry metrics.Registry
	kinds    sync.Map // of string to *trafficCount
}

// trafficCount is the traffic of one kind of call.
type trafficCount struct {
	out, in atomic.Int64
	// loggedOut and loggedIn are the counts as of the last log line.
	loggedOut, loggedIn int64
}

// NewTraffic returns counters that are exposed as gauges in a registry.
func NewTraffic(registry metrics.Registry) *Traffic { return &Traffic{registry: registry} }

// Transferred adds transferred bytes to the counters of a kind.
func (tr *Traffic) Transferred(kind string, out, in int) {
	found, known := tr.kinds.Load(kind)
	if !known {
		created := &trafficCount{}
		if found, known = tr.kinds.LoadOrStore(kind, created); !known {
			tr.registerGauge("bytes.out."+kind, &created.out)
			tr.registerGauge("bytes.in."+kind, &created.in)
		}
	}
	tc := found.(*trafficCount)
	tc.out.Add(int64(out))
	tc.in.Add(int64(in))
}

func (tr *Traffic) registerGauge(name string, count *atomic.Int64) {
	tr.registry.GetOrRegister(name, metrics.NewFunctionalGauge(count.Load))
}

// PeerCall returns the kind under which a call to a peer is counted.
func PeerCall(rq *http.Request) string { return "peer." + path.Base(rq.URL.Path) }

// trafficDelta is the traffic of one kind of call since the last log line.
type trafficDelta struct {
	kind    string
	out, in int64
}

// deltas returns the traffic since the previous call, largest first. It must not be called concurrently.
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
	slices.SortFunc(list, func(a, b trafficDelta) int {
		return cmp.Or(cmp.Compare(b.out+b.in, a.out+a.in), cmp.Compare(a.kind, b.kind))
	})
	return list
}

// logTraffic logs the traffic until the context ends.
func (fl *Fleet) logTraffic(ctx context.Context) {
	if fl.opts.Traffic == nil {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, trafficLogInterval)
		var out, in int64
		var kinds []string
		for _, td := range fl.opts.Traffic.deltas() {
			out, in = out+td.out, in+td.in
			if len(kinds) < trafficLogKinds {
				kinds = append(kinds, fmt.Sprintf("%s %d/%d", td.kind, td.out, td.in))
			}
		}
		fl.opts.Log.Emit(event.BytesMoved, zap.Int64("out", out), zap.Int64("in", in), zap.Strings("kinds", kinds))
	}
}

// trafficLogKinds is the maximum number of kinds in a log line.
const trafficLogKinds = 10
