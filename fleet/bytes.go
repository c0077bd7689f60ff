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
const bytesEvery = 2 * time.Second

// Bytes counts what an instance's connections move, by the kind of call. It implements tcp.Meter.
type Bytes struct {
	registry metrics.Registry
	kinds    sync.Map // of string to *moved
}

// moved is what one kind of call has moved.
type moved struct {
	out, in atomic.Int64
	// toldOut and toldIn are what the log has told of.
	toldOut, toldIn int64
}

// NewBytes returns counters that show in a registry.
func NewBytes(registry metrics.Registry) *Bytes { return &Bytes{registry: registry} }

// Moved counts bytes.
func (by *Bytes) Moved(kind string, out, in int) {
	found, known := by.kinds.Load(kind)
	if !known {
		fresh := &moved{}
		if found, known = by.kinds.LoadOrStore(kind, fresh); !known {
			by.show("bytes.out."+kind, &fresh.out)
			by.show("bytes.in."+kind, &fresh.in)
		}
	}
	mv := found.(*moved)
	mv.out.Add(int64(out))
	mv.in.Add(int64(in))
}

func (by *Bytes) show(name string, count *atomic.Int64) {
	by.registry.GetOrRegister(name, metrics.NewFunctionalGauge(count.Load))
}

// PeerCall names a call to a peer for the counters.
func PeerCall(rq *http.Request) string { return "peer." + path.Base(rq.URL.Path) }

// share is what one kind moved since the last line of the log.
type share struct {
	kind    string
	out, in int64
}

// shares returns what moved since it was last asked, the most first. It is for one caller at a time.
func (by *Bytes) shares() []share {
	var list []share
	by.kinds.Range(func(kind, value any) bool {
		mv := value.(*moved)
		out, in := mv.out.Load(), mv.in.Load()
		if out != mv.toldOut || in != mv.toldIn {
			list = append(list, share{kind.(string), out - mv.toldOut, in - mv.toldIn})
		}
		mv.toldOut, mv.toldIn = out, in
		return true
	})
	slices.SortFunc(list, func(one, other share) int {
		return cmp.Or(cmp.Compare(other.out+other.in, one.out+one.in), cmp.Compare(one.kind, other.kind))
	})
	return list
}

// tellBytes logs what moved until the context ends.
func (fl *Fleet) tellBytes(ctx context.Context) {
	if fl.opts.Bytes == nil {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, bytesEvery)
		var out, in int64
		var kinds []string
		for _, sh := range fl.opts.Bytes.shares() {
			out, in = out+sh.out, in+sh.in
			if len(kinds) < bytesKinds {
				kinds = append(kinds, fmt.Sprintf("%s %d/%d", sh.kind, sh.out, sh.in))
			}
		}
		fl.opts.Log.Emit(event.BytesMoved, zap.Int64("out", out), zap.Int64("in", in), zap.Strings("kinds", kinds))
	}
}

// bytesKinds is how many kinds a line of the log names.
const bytesKinds = 10
