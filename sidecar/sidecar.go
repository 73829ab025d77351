// Package sidecar puts the daemon of the users' platform together: the copy of
// the platform's store, the configuration and the backend servers decoded from
// it, the way of a request, the exchange with other daemons, and the stop.
//
// Usage:
//
//	d, err := sidecar.New(settings, metricsPort, logger)
//	if err != nil {
//		return err
//	}
//	return d.Run(ctx, source) // until ctx ends, then stops gracefully
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/gossip"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/core/route"
	"marjoramsaddle/io/control"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/ingress"
	"marjoramsaddle/io/lane"
	"marjoramsaddle/io/relay"
	"marjoramsaddle/io/server"
	"marjoramsaddle/io/telemetry"
	"marjoramsaddle/platform"
)

const (
	// hopDialTimeout bounds a connection to another daemon. Failure domains are
	// a few milliseconds apart; a host that is cut off answers nothing.
	hopDialTimeout = 250 * time.Millisecond
	// hopSendTimeout finds links that are cut. A lost packet is sent again after
	// about 200 ms, and once more 400 ms later.
	hopSendTimeout = 650 * time.Millisecond
	// backendDialTimeout bounds a connection to the backend server of this host.
	backendDialTimeout = 500 * time.Millisecond
	// hopIdle is how long unused connections to other daemons are kept. It lies
	// below listenerIdle, so that the sender closes first.
	hopIdle      = 20 * time.Second
	listenerIdle = 60 * time.Second
	// backendIdle is used when the backend server announces no idle time.
	backendIdle = 8 * time.Second
	// maxAnswer bounds an answer in memory. Downloads have up to 600 KB; answers of
	// this size in all slots fit the memory of the smallest hosts.
	maxAnswer = 4 << 20
	// headerTimeout and maxHeader bound the arrival and size in bytes of a header
	// where the configuration does not.
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10
	// callerShare is the part of the process's descriptors for the connections of
	// clients. The rest is for other daemons, the backend server and the store.
	callerShare = 0.5
	// laneShare is the part of the host's link that long answers use. The rest is
	// for requests, headers, beacons and acknowledgements.
	laneShare = 0.85
)

// Daemon is the process beside one backend server.
type Daemon struct {
	settings atomic.Pointer[platform.Settings]
	log      *zap.Logger
	metrics  *telemetry.Metrics
	// listeners holds the listeners of the servers of net/http.
	listeners map[*http.Server]*http1.GracefulListener
	// metricsPort serves the metrics; zero takes any free port.
	metricsPort int
	requests    *requestLog
	started     time.Time

	mirror  *mirror.Mirror
	store   *platform.Store
	chooser *placement.Chooser
	local   *server.Server
	hops    *http1.Pool
	backend *http1.Pool
	relay   *relay.Client
	lane    *lane.Pacer
	peers   *control.Client
	gossip  *control.Gossip

	state   *state
	members *members
	// news holds a signal after another daemon told of a newer revision, needed one
	// after this daemon was found to have to read the store.
	news, needed chan struct{}
	// nearBoard and farBoard keep the loads that are passed on in the next round,
	// of the own and of other failure domains.
	boardsMu            sync.Mutex
	nearBoard, farBoard *gossip.ReportBuffer
	table               atomic.Pointer[route.Table]
	// configured is closed with the first configuration in force.
	configured chan struct{}
	// confirmed is when the copy of the store was last known to be current.
	confirmed atomic.Int64
	// lastRead is when this daemon itself last heard from the store.
	lastRead atomic.Int64
	stopping atomic.Bool
	// stale is set when the store has to be listed again.
	stale atomic.Bool
	// ending is set when new requests are refused before the end.
	ending   atomic.Bool
	sequence atomic.Uint64
	active   atomic.Int64
	// lastClient is when a client last sent a request.
	lastClient atomic.Int64

	repeats *retry.FleetBudget
}

// New returns a daemon that has opened nothing yet.
func New(settings platform.Settings, metricsPort int, log *zap.Logger) (*Daemon, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		log:         log.Named("sidecar"),
		metrics:     metrics,
		metricsPort: metricsPort,
		started:     time.Now(),
		mirror:      mirror.New(),
		store:       platform.NewStore(settings.StoreAddress),
		chooser:     placement.New(settings.Domain, xxhash.Sum64String(settings.IP)),
		configured:  make(chan struct{}),
		news:        make(chan struct{}, 1),
		needed:      make(chan struct{}, 1),
		listeners:   map[*http.Server]*http1.GracefulListener{},
		nearBoard:   gossip.NewReportBuffer(gossip.MaxNearReports),
		farBoard:    gossip.NewReportBuffer(gossip.MaxFarReports),
	}
	d.settings.Store(&settings)
	d.requests = newRequestLog(log.Named("request"), metrics)
	headers := platform.Headers{}
	d.hops = http1.NewPool(http1.PoolOptions{
		DialTimeout: hopDialTimeout, IdleTimeout: hopIdle, MaxBodyBytes: maxAnswer, TCPUserTimeout: hopSendTimeout,
		ExchangeField: relay.ExchangeHeader,
	})
	d.backend = http1.NewPool(http1.PoolOptions{
		DialTimeout: backendDialTimeout, IdleTimeout: backendIdle, MaxBodyBytes: maxAnswer,
		RequestID: headers.RequestID,
	})
	_, hopPort, err := net.SplitHostPort(settings.HopAddress)
	if err != nil {
		return nil, fmt.Errorf("hop address: %w", err)
	}
	limit := laneShare * settings.LinkRate
	account := link.New(limit)
	d.lane = lane.New(account, limit)
	d.local = server.New(server.Options{
		Link:    account,
		Address: settings.BackendAddress, Pool: d.backend, HeaderCodec: headers, Now: d.now,
		Refused: func(requestID string, call relay.Call, refused *refusal.Error) {
			d.requests.Refused(requestID, call, refused, d.local.Load())
		},
	})
	d.relay = relay.NewClient(d.hops, hopPort, d.report)
	d.peers = control.NewClient(d.hops)
	d.members = newMembers(settings, d.now)
	d.repeats = retry.NewFleetBudget(d.retryTerms)
	d.state = newState(d)
	return d, nil
}

// seed makes the random choices of this daemon differ from those of others.
func (d *Daemon) seed() uint64 { return xxhash.Sum64String(d.settings.Load().IP) }

// now returns the current time on the steady clock, which the platform does
// not set back.
func (d *Daemon) now() id.Instant {
	return id.InstantOf(d.started).Add(time.Since(d.started))
}

func (d *Daemon) report(report placement.Report) {
	report.At = d.now()
	d.chooser.Report(report)
}

// retryTerms returns what the platform allows all daemons together.
func (d *Daemon) retryTerms() retry.FleetLimits {
	settings := d.settings.Load()
	near, far := d.members.split()
	return retry.FleetLimits{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Daemons: 1 + len(near) + len(far)}
}

// runOf returns the run on this host that makes the request, or nil.
func (d *Daemon) runOf(requestID string) ingress.ParentRequest {
	run := d.local.ParentOf(requestID)
	if run == nil {
		// A nil *server.Run would make an interface that is not nil.
		return nil
	}
	return run
}

// localServer returns the backend server of this host, if it is listed.
func (d *Daemon) localServer() backend.ID {
	if current := d.local.Current(); current != nil {
		return current.ID
	}
	return ""
}

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context, source SettingsSource) error {
	d.log.Info("starting", zap.String("host", string(d.settings.Load().Host)), zap.String("domain", string(d.settings.Load().Domain)),
		zap.String("service", string(d.settings.Load().Service)), zap.Strings("seeds", d.settings.Load().Seeds))
	background, end := context.WithCancel(context.Background())
	defer end()
	servers, err := d.listen(background)
	if err != nil {
		return err
	}
	go d.loop(background, "queue", d.local.Expire)
	go d.loop(background, "store", d.followStore)
	go d.loop(background, "peers", d.followPeers)
	go d.loop(background, "rounds", d.tick)
	go d.loop(background, "settings", func(ctx context.Context) { d.followSettings(ctx, source) })
	<-ctx.Done()
	d.stop(servers)
	return nil
}

// servers are the listeners of the daemon.
type servers struct {
	callers                           *http1.Server
	hops, control, readiness, metrics *http.Server

	beacons net.PacketConn
}

func (d *Daemon) listen(ctx context.Context) (*servers, error) {
	handler := ingress.New(ingress.Options{
		Service: func() id.Service { return d.settings.Load().Service }, HeaderCodec: platform.Headers{}, Chooser: d.chooser, Sender: sender{d},
		Table: d.table.Load, Configured: d.configured, RetryBudget: d.repeats, Recorder: d.requests, ParentOf: d.runOf, Now: d.now,
		Local: d.localServer, Link: d.lane.HostLink(),
	})
	hops := relay.NewHandler(d.local, d.lane)
	beacons, err := net.ListenPacket("udp4", d.settings.Load().ControlAddress)
	if err != nil {
		return nil, fmt.Errorf("control address: %w", err)
	}
	d.gossip = control.NewGossip(beacons, control.GossipOptions{
		Self: d.beacon, OnBeacon: d.heard, Now: d.now, OnError: d.gossipFailed,
	})
	go d.loop(ctx, "beacons", func(context.Context) { d.gossip.Receive() })
	s := &servers{
		callers: http1.NewServer(http1.ServerOptions{
			Handler: d.countedCallers(handler), Limits: d.clientLimits, Write: d.lane.Write,
			MaxConns: int(callerShare * float64(d.settings.Load().Descriptors)),
			OnPanic:  func(r *http.Request, err error) { d.panicked("request "+platform.Headers{}.RequestID(r.Header), err) },
		}),
		hops:      d.newServer(http1.EchoHeader(relay.ExchangeHeader, d.countedHops(hops))),
		control:   d.newServer(http1.EchoHeader(relay.ExchangeHeader, control.NewHandler(d.mirror, d.storeAge))),
		readiness: d.newServer(http.HandlerFunc(d.ready)),
		metrics:   d.newServer(d.metrics.Handler()),
		beacons:   beacons,
	}
	for _, one := range []struct {
		server  acceptor
		address string
	}{
		{s.metrics, net.JoinHostPort(d.settings.Load().IP, strconv.Itoa(d.metricsPort))},
		{s.readiness, d.settings.Load().ReadinessAddress},
		{s.control, d.settings.Load().ControlAddress},
		{s.hops, d.settings.Load().HopAddress},
		{s.callers, d.settings.Load().CallerAddress},
	} {
		if err := d.serve(ctx, one.server, one.address); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// clientLimits returns what clients may send, by the configuration in force.
func (d *Daemon) clientLimits() http1.Limits {
	limits := http1.Limits{HeaderTimeout: headerTimeout, IdleTimeout: listenerIdle, HeaderBytes: maxHeader}
	table := d.table.Load()
	if table == nil {
		return limits
	}
	if table.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = table.Limits.HeaderTimeout
	}
	if table.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = table.Limits.IdleTimeout
	}
	if table.Limits.HeaderBytes > 0 {
		limits.HeaderBytes = table.Limits.HeaderBytes
	}
	limits.BodyBytes = table.Limits.BodyBytes
	return limits
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: d.contained(handler), ConnContext: http1.ConnContext,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: listenerIdle, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(d.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// acceptor is a server of any kind.
type acceptor interface {
	Serve(listener net.Listener) error
}

func (d *Daemon) serve(ctx context.Context, server acceptor, address string) error {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	if plain, ok := server.(*http.Server); ok {
		if tcp, ok := listener.(*net.TCPListener); ok {
			graceful := http1.NewGracefulListener(tcp)
			d.listeners[plain], listener = graceful, graceful
		}
		listener = http1.Listener{Listener: listener}
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener ended", zap.String("address", address), zap.Error(err))
		}
	}()
	return nil
}

// countedCallers keeps the number of requests of clients under way, for the
// stop. Near the end only calls of running requests are served.
func (d *Daemon) countedCallers(handler *ingress.Handler) http1.Handler {
	return func(ctx context.Context, r *http.Request) *http1.Response {
		internal := d.runOf(platform.Headers{}.RequestID(r.Header)) != nil
		if d.ending.Load() && !internal {
			return handler.RefuseLeaving(r)
		}
		if !internal {
			d.lastClient.Store(int64(d.now()))
		}
		d.active.Add(1)
		defer d.active.Add(-1)
		return handler.Serve(ctx, r)
	}
}

// countedHops is countedCallers for the requests of other daemons.
func (d *Daemon) countedHops(handler *relay.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.ending.Load() {
			handler.RefuseLeaving(w, r)
			return
		}
		d.active.Add(1)
		defer d.active.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// ready answers the platform's readiness checks.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
