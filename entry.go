package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/peer"
	"github.com/aspenseam/aspenseam/settings"
	"github.com/aspenseam/aspenseam/table"
	"github.com/aspenseam/aspenseam/worker"
	"github.com/integrii/flaggy"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
)

const (
	// keptShare is the part of the buffers that kept answers may take, as a divisor.
	keptShare = 4
	// stopMargin is added to the longest request time before a stop is forced.
	stopMargin = 5 * time.Second
	// moveTimeout bounds the agreement on successors of a lost endpoint.
	moveTimeout = 5 * time.Second
	// urgentReserve is the slots of the fleet that only urgent jobs may take.
	urgentReserve = 4
	// listeners are those for callers, peers and operators.
	listeners = 3
)

// entry is one entry instance with all its parts.
type entry struct {
	st          *settings.Settings
	log         *event.Logger
	incarnation table.Incarnation
	platform    *table.Client
	watcher     *table.Watcher
	router      *endpoint.Router
	callers     *caller.Server
	peers       *peer.Client
	peerServer  *peer.Server
	operators   *operator.Server
	executor    *operator.Executor
	keeper      *operator.ActiveSettings
	placer      *worker.Placer
	keys        *peer.Keys
	signer      *caller.Signer
	certificate certificate
	registry    metrics.Registry
	background  context.Context
	servers     []*http.Server
}

// entryCommand runs an entry instance.
func entryCommand() command {
	sub := flaggy.NewSubcommand("entry")
	sub.Description = "Run an entry instance."
	var path string
	sub.String(&path, "s", "settings", "settings file")
	return command{sub, func(ctx context.Context) error {
		st, err := settings.Load(path)
		if err != nil {
			return err
		}
		lg, err := event.NewProduction(st.Entry.ID)
		if err != nil {
			return err
		}
		defer lg.Sync()
		err = runEntry(ctx, st, path, lg)
		if err != nil {
			lg.Emit(event.ProcessFailed, zap.Error(err))
		}
		return err
	}}
}

// runEntry serves until the context ends, then stops without cutting a request.
func runEntry(ctx context.Context, st *settings.Settings, path string, lg *event.Logger) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	en, err := newEntry(background, st, lg)
	if err != nil {
		return err
	}
	go en.reloadOnHangup(background, path)
	failed := make(chan error, listeners)
	if err := en.listenInside(failed); err != nil {
		return err
	}
	go en.watcher.Run(background)
	go en.peers.Run(background)
	go en.executor.Run(background)
	go en.placer.Run(background)
	go caller.NewSweeper(en.platform, en.watcher, table.InstanceID(st.Entry.ID), st.Caller.ClaimRetention, lg, time.Now).Run(background)
	en.seed(ctx)
	if err := en.listenCallers(failed); err != nil {
		return err
	}
	lg.Emit(event.ProcessStarted, zap.String("incarnation", string(en.incarnation)), zap.String("callerAddress", st.Entry.CallerAddress))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	en.stop()
	return nil
}

// newEntry builds the parts of an entry instance from its settings.
func newEntry(background context.Context, st *settings.Settings, lg *event.Logger) (*entry, error) {
	en := &entry{st: st, log: lg, incarnation: table.Incarnation(table.NewID()), registry: metrics.NewRegistry(), background: background}
	en.keys, en.signer = peer.NewKeys(st.Peer.Keys...), caller.NewSigner(st.Peer.Keys...)
	peerTLS, err := clientTLS(st.TLS)
	if err != nil {
		return nil, err
	}
	if peerTLS != nil {
		if err := en.certificate.load(st.TLS); err != nil {
			return nil, err
		}
	}
	buffers := endpoint.NewBuffers(st.Caller.BufferBytes)
	en.platform = table.NewClient(table.WithAddresses(st.Platform.Addresses...), table.WithTimeout(st.Platform.Timeout), table.WithDial(dialer(st, st.Platform.Timeout)))
	en.watcher = table.NewWatcher(en.platform, table.WithPollInterval(st.Platform.PollInterval), table.WithLog(lg), table.WithOnChange(en.changed))
	en.router = endpoint.NewRouter(routerOptions(st, lg, buffers)...)
	en.keeper = operator.NewActiveSettings(lg, func(ft *settings.Fleet) { en.router.SetPolicy(ft.RetryShare, ft.EjectAfter, ft.EjectShareMax) })
	peerOptions := append(en.peerOptions(), peer.WithTLS(peerTLS))
	en.peers = peer.NewClient(en.watcher, peerOptions...)
	en.callers = caller.NewServer(en.router, en.watcher, en.platform, en.peers, en.callerOptions(buffers)...)
	en.peerServer = peer.NewServer(en.watcher, en.callers, en.router, en.keeper, peerOptions...)
	planner := func() operator.Planner {
		_, ft := en.keeper.InForce()
		return operator.NewPlanner(ft)
	}
	desk := operator.NewManager(en.platform, en.platform, en.watcher, planner, time.Now)
	en.executor = operator.NewExecutor(en.platform, en.platform, en.watcher, en.peers, prober{dialer(st, st.Endpoint.DialTimeout)}, operator.ExecutorOptions{
		Entry: table.InstanceID(st.Entry.ID), Incarnation: en.incarnation, MaxRequestDuration: st.Caller.MaxRequestDuration, Log: lg,
	})
	en.placer = worker.NewPlacer(en.platform, worker.NewClient(en.platform), en.watcher,
		worker.WithEntry(table.InstanceID(st.Entry.ID), en.incarnation), worker.WithLog(lg), worker.WithUrgentReserve(urgentReserve), worker.WithTaskLease(st.Jobs.TaskLease))
	en.operators = operator.NewServer(en.watcher, en.router, en.platform, desk, en.peers,
		operator.WithEntry(table.InstanceID(st.Entry.ID), en.incarnation, table.HallID(st.Entry.Hall)),
		operator.WithOperators(st.Operators), operator.WithRegistry(en.registry), operator.WithLog(lg))
	mover := table.NewMover(en.platform, en.watcher, st.Entry.ID)
	mover.OnMoved = func(mv table.Move) {
		lg.Emit(event.SessionsMoved, zap.String("endpoint", string(mv.Instance)), zap.Any("successors", mv.Successors))
	}
	en.router.OnGone = func(in table.Instance) { go en.move(mover, in) }
	en.register(buffers)
	return en, nil
}

func (en *entry) move(mover *table.Mover, in table.Instance) {
	ctx, cancel := context.WithTimeout(en.background, moveTimeout)
	defer cancel()
	mover.Move(ctx, in)
}

// dialer returns a function that opens connections from the instance's own IP, if the settings name one.
func dialer(st *settings.Settings, timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dl := &net.Dialer{Timeout: timeout}
	if st.Entry.SourceIP != "" {
		dl.LocalAddr = &net.TCPAddr{IP: net.ParseIP(st.Entry.SourceIP)}
	}
	return dl.DialContext
}

// prober tells whether an instance takes connections.
type prober struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Up connects and closes.
func (pb prober) Up(ctx context.Context, address string) bool {
	conn, err := pb.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Nothing was sent, so nothing can be lost by closing.
	_ = conn.Close()
	return true
}

func routerOptions(st *settings.Settings, lg *event.Logger, buffers *endpoint.Buffers) []endpoint.Option {
	ep := st.Endpoint
	return []endpoint.Option{
		endpoint.WithHall(st.Entry.Hall),
		endpoint.WithDial(dialer(st, ep.DialTimeout)),
		endpoint.WithDialTimeout(ep.DialTimeout),
		endpoint.WithMaxAttemptDuration(st.Caller.MaxRequestDuration),
		endpoint.WithMaxBufferedAnswer(st.Caller.AnswerBytes),
		endpoint.WithBuffers(buffers),
		endpoint.WithQueueLength(st.Caller.QueueLength),
		endpoint.WithMaxEntries(ep.EntriesMax),
		endpoint.WithRetry(endpoint.RetryPolicy{Share: ep.RetryShare, Burst: ep.RetryBurst, MaxAttempts: 3}),
		endpoint.WithEject(endpoint.EjectPolicy{ConsecutiveFailures: ep.EjectAfter, BaseDuration: ep.EjectFor, MaxDuration: ep.EjectForMax, MaxShare: ep.EjectShareMax}),
		endpoint.WithGoneAfter(ep.GoneAfter),
		endpoint.WithLog(lg),
	}
}

func (en *entry) peerOptions() []peer.Option {
	return []peer.Option{
		peer.WithEntry(table.InstanceID(en.st.Entry.ID), en.incarnation),
		peer.WithKeys(en.keys),
		peer.WithSigner(en.signer),
		peer.WithSeeds(en.st.Peer.Seeds...),
		peer.WithTimeout(en.st.Peer.Timeout),
		peer.WithSyncInterval(en.st.Peer.SyncInterval),
		peer.WithDial(dialer(en.st, en.st.Peer.Timeout)),
		peer.WithLog(en.log),
	}
}

func (en *entry) callerOptions(buffers *endpoint.Buffers) []caller.Option {
	cs := en.st.Caller
	return []caller.Option{
		caller.WithEntry(table.InstanceID(en.st.Entry.ID), en.incarnation),
		caller.WithTimeouts(cs.DefaultTimeout, cs.MaxRequestDuration),
		caller.WithBodyLimits(cs.BodyBytes, buffers),
		caller.WithClaimBatching(cs.ClaimInterval, cs.ClaimBatchSize, en.st.Platform.Timeout),
		caller.WithKeptAnswers(cs.AnswersKept, cs.BufferBytes/keptShare, cs.AnswerRetention),
		caller.WithSigner(en.signer),
		caller.WithLog(en.log),
	}
}

// register adds the figures that operators read under /v1/metrics.
func (en *entry) register(buffers *endpoint.Buffers) {
	gauges := map[string]func() int64{
		"requests.answered": en.callers.Answered.Load,
		"requests.notRun":   en.callers.NotRun.Load,
		"requests.unknown":  en.callers.Unknown.Load,
		"endpoint.calls":    en.router.Calls.Load,
		"endpoint.attempts": en.router.Attempts.Load,
		"platform.reads":    en.platform.Reads,
		"platform.writes":   en.platform.Writes,
		"buffers.leftBytes": buffers.Available,
	}
	for name, read := range gauges {
		// The names differ, so none is refused.
		_ = en.registry.Register(name, metrics.NewFunctionalGauge(read))
	}
}

// changed gives a new snapshot to the router, and fresh rows to the peers.
func (en *entry) changed(cg table.Change) {
	if cg.Routes() {
		en.router.Update(cg.Snapshot)
	}
	en.keeper.Update(cg.Snapshot)
	if cg.Read {
		en.peers.Push(en.background, cg.Rows)
	}
}

// seed asks all running peers for their snapshots, and returns when the platform or one of them has given one.
// The peers are asked even if the platform was faster, so that a stale read of it cannot bring an old configuration back.
func (en *entry) seed(ctx context.Context) {
	if en.peers.Start(ctx) && !en.watcher.Heard() {
		en.log.Emit(event.SnapshotFromPeer)
	}
	ticker := time.NewTicker(en.st.Peer.SyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-en.watcher.Loaded():
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			en.peers.Start(ctx)
		}
	}
}

// listenInside opens the listeners for peers and operators.
func (en *entry) listenInside(failed chan<- error) error {
	timeout := en.st.Caller.HeaderTimeout
	peers := &http.Server{Handler: en.peerServer.Handler(en.peerOptions()...), ReadHeaderTimeout: timeout, ReadTimeout: timeout}
	if err := en.serve(peers, en.st.Entry.PeerAddress, 0, failed); err != nil {
		return err
	}
	operators := &http.Server{Handler: en.operators.Handler(), ReadHeaderTimeout: timeout, ReadTimeout: timeout}
	return en.serve(operators, en.st.Entry.OperatorAddress, 0, failed)
}

// listenCallers opens the listener for callers.
func (en *entry) listenCallers(failed chan<- error) error {
	cs := en.st.Caller
	callers := &http.Server{Handler: en.callers, ReadHeaderTimeout: cs.HeaderTimeout, ReadTimeout: cs.HeaderTimeout, MaxHeaderBytes: cs.HeaderBytes, IdleTimeout: time.Minute}
	return en.serve(callers, en.st.Entry.CallerAddress, cs.Connections, failed)
}

// serve listens with at most so many connections, 0 for any number; failed is told when serving ends by itself.
func (en *entry) serve(srv *http.Server, address string, connections int, failed chan<- error) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	if connections > 0 {
		ln = netutil.LimitListener(ln, connections)
	}
	if config := en.serverTLS(); config != nil {
		ln = tls.NewListener(ln, config)
	}
	en.servers = append(en.servers, srv)
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			failed <- eris.Wrap(err, "serve")
		}
	}()
	return nil
}

// stop refuses new requests, lets open ones end, and then closes the listeners.
func (en *entry) stop() {
	en.log.Emit(event.ProcessStopping)
	ctx, cancel := context.WithTimeout(context.Background(), en.st.Caller.MaxRequestDuration+stopMargin)
	defer cancel()
	if err := en.callers.Stop(ctx); err != nil {
		en.log.Emit(event.StopForced, zap.Error(err))
	}
	var wg sync.WaitGroup
	for _, srv := range en.servers {
		wg.Go(func() {
			// What is still open at the end of the time is cut; that was logged above.
			_ = srv.Shutdown(ctx)
		})
	}
	wg.Wait()
	en.log.Emit(event.ProcessStopped)
}
