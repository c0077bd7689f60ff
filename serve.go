package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/fleet"
	"github.com/aspenseam/aspenseam/machine"
	"github.com/aspenseam/aspenseam/platform"
	"github.com/aspenseam/aspenseam/settings"
	"github.com/aspenseam/aspenseam/tcp"
	"github.com/integrii/flaggy"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/net/netutil"
)

const (
	// balancerTime is how long an instance that stops goes on accepting: a balancer that looks each second and drops after two
	// misses needs up to two seconds, and some more where it is slow.
	balancerTime = 2700 * time.Millisecond
	// quietTime is how long no request may have been open before the server stops; a request takes some 10 ms to be read.
	quietTime = 200 * time.Millisecond
	// killMargin is left between the end of an orderly stop and the kill.
	killMargin = 700 * time.Millisecond
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.6
	// frontConnections bounds open connections of clients; each takes some 20 KB.
	frontConnections = 2500
	// headerTime bounds the reading of a request's head and body.
	headerTime = 5 * time.Second
	// idleTime is how long a client's unused connection is kept.
	idleTime = 60 * time.Second
)

// serveCommand runs an entry instance on the platform whose settings file the environment names.
func serveCommand() command {
	sub := flaggy.NewSubcommand("serve")
	sub.Description = "Run an entry instance for jobs on the platform that placed the settings file."
	path := ""
	sub.String(&path, "c", "cells", "file of the settings of cells, JSON with comments; none for the defaults")
	return command{sub, func(ctx context.Context) error {
		st, err := platform.LoadSettings()
		if err != nil {
			return err
		}
		cs, err := loadCells(path)
		if err != nil {
			return err
		}
		ou := event.NewOutput(os.Stdout)
		defer ou.Close()
		lg := event.NewStreamLogger(st.Name, ou, zapcore.InfoLevel)
		if err := serve(ctx, st, cs, lg); err != nil {
			lg.Emit(event.ProcessFailed, zap.Error(err))
			return err
		}
		return nil
	}}
}

// loadCells reads the settings of cells, or returns the defaults if no file is named.
func loadCells(path string) (*settings.Cells, error) {
	src := []byte("{}")
	if path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "settings of cells")
		}
		src = raw
	}
	return settings.ParseCells(src)
}

// serve works until the context ends, then hands over and stops without cutting a request.
func serve(ctx context.Context, st *platform.Settings, cs *settings.Cells, lg *event.Logger) error {
	debug.SetMemoryLimit(int64(float64(st.MemoryMB<<20) * memoryShare))
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	registry := metrics.NewRegistry()
	bytes := fleet.NewTraffic(registry)
	fl := fleet.New(fleetOptions(st, cs, lg, registry, bytes))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopping := func() bool { return ctx.Err() != nil }
	elsewhere := func() bool { return stopping() || fl.CutOff() }
	clients := &http.Server{Handler: &openRequests{Handler: platform.NewClientHandler(fl, elsewhere)}, ReadHeaderTimeout: headerTime, ReadTimeout: headerTime, IdleTimeout: idleTime}
	failed := make(chan error, 4)
	servers := []struct {
		kind        string
		srv         *http.Server
		address     string
		connections int
	}{
		{"callers", clients, st.CallerAddress, frontConnections},
		{"readiness", &http.Server{Handler: platform.NewReadinessHandler(fl.Ready), ReadHeaderTimeout: headerTime}, st.ReadyAddress, 0},
		{"peers", &http.Server{Handler: fl.Handler(), ReadHeaderTimeout: headerTime}, st.PeerAddress, 0},
		{"figures", &http.Server{Handler: figuresHandler(registry), ReadHeaderTimeout: headerTime}, net.JoinHostPort(st.IP, strconv.Itoa(st.MetricsPort)), 0},
	}
	for _, sv := range servers {
		if err := listen(sv.srv, sv.address, bytes, sv.kind, sv.connections, failed); err != nil {
			return err
		}
	}
	go fl.Run(background)
	lg.Emit(event.ProcessStarted, zap.String("callerAddress", st.CallerAddress))
	for {
		select {
		case err := <-failed:
			return err
		case <-hangups:
			lg.Emit(event.HangupSeen)
			continue
		case <-ctx.Done():
		}
		break
	}
	stopServing(background, st, fl, clients, lg)
	return nil
}

// stopServing hands the cells over, gives the balancer its time, and ends when the open requests have.
func stopServing(background context.Context, st *platform.Settings, fl *fleet.Fleet, clients *http.Server, lg *event.Logger) {
	lg.Emit(event.ProcessStopping)
	ctx, cancel := context.WithTimeout(background, st.Grace-killMargin)
	defer cancel()
	accepting := time.NewTimer(min(balancerTime, st.Grace/2))
	defer accepting.Stop()
	fl.HandOver(ctx)
	select {
	case <-accepting.C:
	case <-ctx.Done():
	}
	answerRest(ctx, clients)
	if err := clients.Shutdown(ctx); err != nil {
		lg.Emit(event.StopForced, zap.Error(err))
	}
	lg.Emit(event.ProcessStopped)
}

// answerRest waits until no request is open. The server drops requests that it reads after its Shutdown has begun, so that comes
// only when nothing has been read for a while; by now the balancer sends no new connections.
func answerRest(ctx context.Context, clients *http.Server) {
	open := clients.Handler.(*openRequests)
	quiet := time.Now()
	for ctx.Err() == nil && time.Since(quiet) < quietTime {
		if open.count.Load() > 0 {
			quiet = time.Now()
		}
		time.Sleep(quietTime / 20)
	}
}

// openRequests counts the requests that are being answered.
type openRequests struct {
	http.Handler
	count atomic.Int64
}

// ServeHTTP answers one request.
func (or *openRequests) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	or.count.Add(1)
	defer or.count.Add(-1)
	or.Handler.ServeHTTP(wr, rq)
}

// fleetOptions wires the platform's adapter to the fleet.
func fleetOptions(st *platform.Settings, cs *settings.Cells, lg *event.Logger, registry metrics.Registry, bytes *fleet.Traffic) fleet.Options {
	sizes := machine.DefaultSizes()
	sizes.Margin, sizes.Standby, sizes.StandbyLong, sizes.ReturnAfter, sizes.Lookahead = cs.Margin, cs.Standby, cs.StandbyLong, cs.IdleFor, cs.Lookahead
	op := fleet.Options{
		Name: st.Name, Hall: st.Hall, Halls: st.Halls, Address: st.PeerAddress, Seeds: st.Seeds, Power: st.CPUShare,
		Store: platform.NewStore(st.StoreAddress, platform.WithMeter(bytes)), SinglePartTx: st.SinglePartTx, MaxRowBytes: st.MaxRowBytes, Workers: platform.NewWorkers(platform.WithMeter(bytes)), Machines: platform.NewMachines(st.MachinesAddress), MachineOrderRate: st.MachineOrderRate, Format: platform.Format{},
		Cell: cell.Options{
			LeaseDuration: min(cs.Lease, st.MaxLease), RenewalWindow: cs.RenewalWindow, RegistrationMaxAge: st.RegistrationMaxAge, PollInterval: cs.PollInterval, MaxStopTime: st.MaxStopTime, DrainTime: st.DrainTime, EarlyStart: st.EarlyStart, RemoteFactor: st.RemoteFactor,
			Retention: st.Retention + cell.DefaultRetention/5,
		},
		Sizes: sizes, Functions: fleet.Functions{Admission: cs.Admission, Forecast: cs.Forecast, PackLateJobs: cs.PackLateJobs, LullMaintenance: cs.LullMaintenance}, Log: lg, Registry: registry, Traffic: bytes,
	}
	if st.AdviceAddress != "" {
		op.Adviser = platform.NewAdviser(st.AdviceAddress)
	}
	return op
}

// listen begins to serve at an address, with at most so many connections, 0 for any number. Bytes are counted under the kind.
func listen(srv *http.Server, address string, bytes tcp.Meter, kind string, connections int, failed chan<- error) error {
	ln, err := tcp.Listen(address, bytes, "served."+kind)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	if connections > 0 {
		ln = netutil.LimitListener(ln, connections)
	}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			failed <- eris.Wrap(err, "serve")
		}
	}()
	return nil
}

// figuresHandler writes all figures as lines of name and value.
func figuresHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		registry.Each(func(name string, value any) {
			switch fg := value.(type) {
			case metrics.Counter:
				fmt.Fprintf(wr, "%s %d\n", name, fg.Count())
			case metrics.Gauge:
				fmt.Fprintf(wr, "%s %d\n", name, fg.Value())
			case metrics.Histogram:
				sn := fg.Snapshot()
				fmt.Fprintf(wr, "%s.count %d\n%s.p50 %.0f\n%s.p99 %.0f\n%s.max %d\n", name, sn.Count(), name, sn.Percentile(0.5), name, sn.Percentile(0.99), name, sn.Max())
			}
		})
	})
}
