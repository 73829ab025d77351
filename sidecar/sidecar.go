// Package sidecar assembles the daemon that runs beside one backend server of the
// users' platform. It keeps a copy of the platform's store, decodes the configuration
// and the backend servers from it, routes requests, exchanges state with the other
// daemons and stops gracefully.
//
// # Usage
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
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/gossip"
	"marjoramsaddle/core/holdings"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/core/route"
	"marjoramsaddle/core/shutdown"
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
	// hopDialTimeout bounds connecting to another daemon. Failure domains are a few
	// milliseconds apart; a host that is cut off does not respond at all.
	hopDialTimeout = 250 * time.Millisecond
	// controlDialTimeout bounds connecting to another daemon for its changes. Packets may
	// wait half a second at the link of a busy host, which must still catch up; others are
	// asked meanwhile.
	controlDialTimeout = 600 * time.Millisecond
	// hopSendTimeout detects links that are cut. A lost packet is retransmitted after
	// about 200 ms, and again 400 ms later.
	hopSendTimeout = 650 * time.Millisecond
	// backendDialTimeout bounds connecting to the backend server of this host.
	backendDialTimeout = 500 * time.Millisecond
	// hopIdleTimeout is how long unused connections to other daemons are kept. It is
	// below listenerIdleTimeout, so that the sender closes first.
	hopIdleTimeout      = 20 * time.Second
	listenerIdleTimeout = 60 * time.Second
	// backendIdleTimeout applies when the backend server announces no idle timeout.
	backendIdleTimeout = 8 * time.Second
	// maxResponseBytes bounds a response held in memory. Downloads have up to 600 KB;
	// responses of this size in all slots fit the memory of the smallest hosts.
	maxResponseBytes = 4 << 20
	// headerTimeout and maxHeaderBytes limit how long a header may take to arrive and
	// its size in bytes, where the configuration does not.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// pacedLinkShare is the share of the host's link for large responses and all other
	// messages of requests. The rest is for beacons, changes and acknowledgements.
	pacedLinkShare = 0.95
)

// Daemon is the process that runs beside one backend server. It is created by New and
// runs once.
type Daemon struct {
	settings atomic.Pointer[platform.Settings]
	log      *zap.Logger
	metrics  *telemetry.Metrics
	// listeners holds the listener of each net/http server, for stopping them.
	listeners map[*http.Server]*http1.GracefulListener
	// metricsPort is the port of the metrics endpoint; 0 picks any free port.
	metricsPort   int
	requestLogger *requestLog
	startedAt     time.Time
	// account is the account of the bytes of others.
	account *holdings.Account

	mirror *mirror.Mirror
	// applyMu makes a change of the mirror and of what is derived from it one step.
	applyMu sync.Mutex
	store   *platform.Store
	// listing is the listing of the store in progress. It belongs to followStore.
	listing      listing
	chooser      *placement.Chooser
	localBackend *server.Server
	hopPool      *http1.Pool
	controlPool  *http1.Pool
	backendPool  *http1.Pool
	relay        *relay.Client
	lane         *lane.Pacer
	peerClient   *control.Client
	// slowFetches counts the fetches in a row that have ended with errSlowFetch. It belongs
	// to followPeers.
	slowFetches int
	gossip      *control.Gossip

	storeState *storeState
	coldWatch  *coldWatch
	members    *members
	lag        lag
	// announcements holds what backend servers have announced in their responses.
	announcements       *announcement.Table
	announcementLimiter *rate.Limiter
	// limitMu serializes changes of the local backend server's limit.
	limitMu sync.Mutex
	// newerRevision is signaled after another daemon announced a newer revision,
	// readNeeded after this daemon was found to have to read the store.
	newerRevision, readNeeded chan struct{}
	// nearReports and farReports hold the load reports to relay in the next round, of
	// this failure domain and of the others.
	reportsMu               sync.Mutex
	nearReports, farReports *gossip.ReportBuffer
	table                   atomic.Pointer[route.Table]
	// configured is closed when the first configuration takes effect.
	configured chan struct{}
	// currentAt is when the copy of the store was last known to be current.
	currentAt atomic.Int64
	// lastReadAt is when this daemon itself last got a response from the store.
	lastReadAt atomic.Int64
	// relistRequested makes followStore list the store again; it resets the flag.
	relistRequested atomic.Bool
	// shutdown is the plan of the stop in progress; nil before one.
	shutdown       atomic.Pointer[shutdown.Plan]
	beaconSequence atomic.Uint64
	activeRequests activeRequests
	// lastClientRequest is when a client last sent a request.
	lastClientRequest atomic.Int64

	retryBudget *retry.FleetBudget
}

// New returns a daemon that has not yet opened any socket.
func New(settings platform.Settings, metricsPort int, log *zap.Logger) (*Daemon, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		log:         log.Named("sidecar"),
		metrics:     metrics,
		metricsPort: metricsPort,
		startedAt:   time.Now(),
		mirror:      mirror.New(),
		store: platform.NewStore(platform.StoreOptions{
			Address: settings.StoreAddress, ResponseTimeout: storeResponseTimeout, StallTimeout: storeStallTimeout,
			Usable: platform.Decoder{}.Usable,
		}),
		announcements: announcement.NewTable(), announcementLimiter: newAnnouncementLimiter(),
		chooser:       placement.New(settings.Domain, xxhash.Sum64String(settings.IP)),
		configured:    make(chan struct{}),
		newerRevision: make(chan struct{}, 1),
		readNeeded:    make(chan struct{}, 1),
		listeners:     map[*http.Server]*http1.GracefulListener{},
		nearReports:   gossip.NewReportBuffer(gossip.MaxNearReports),
		farReports:    gossip.NewReportBuffer(gossip.MaxFarReports),
	}
	d.settings.Store(&settings)
	d.account = newAccount(&settings)
	d.requestLogger = newRequestLog(log.Named("request"), metrics)
	headers := platform.Headers{}
	d.hopPool = http1.NewPool(http1.PoolOptions{
		DialTimeout: hopDialTimeout, IdleTimeout: hopIdleTimeout, MaxBodyBytes: maxResponseBytes, TCPUserTimeout: hopSendTimeout,
		ExchangeField: relay.ExchangeHeader, Account: d.account, Purpose: holdings.Response,
		Conns: newPlaces(&settings, hopDescriptorShare, hopMemoryShare),
	})
	d.controlPool = newControlPool(d.account, nil)
	d.backendPool = http1.NewPool(http1.PoolOptions{
		DialTimeout: backendDialTimeout, IdleTimeout: backendIdleTimeout, MaxBodyBytes: maxResponseBytes,
		RequestID: headers.RequestID, Account: d.account, Purpose: holdings.Response,
		OnLost: func(string) { d.coldWatch.connectionLost() },
	})
	_, hopPort, err := net.SplitHostPort(settings.HopAddress)
	if err != nil {
		return nil, fmt.Errorf("hop address: %w", err)
	}
	pacedRate := pacedLinkShare * settings.LinkRate
	hostLink := link.New(pacedRate)
	d.lane = lane.New(hostLink, pacedRate)
	d.localBackend = server.New(server.Options{
		Link:    hostLink,
		Address: settings.BackendAddress, Pool: d.backendPool, HeaderCodec: headers, Now: d.now,
		Refused: func(requestID string, call relay.Call, refused *refusal.Error) {
			d.requestLogger.Refused(requestID, call, refused, d.localBackend.Load())
		},
		Responded: d.recordResponse, LimitLearned: d.adoptLimit, Admit: d.admit,
		ConnectionLost: func() { d.coldWatch.connectionLost() },
	})
	d.coldWatch = newColdWatch(d)
	d.relay = relay.NewClient(d.hopPool, hopPort, d.report, d.lane.Count)
	d.peerClient = control.NewClient(d.controlPool)
	d.members = newMembers(settings, d.now)
	d.retryBudget = retry.NewFleetBudget(d.retryLimits)
	d.storeState = newStoreState(d)
	return d, errors.Join(d.registerBackendGauges(), d.registerMemoryGauges())
}

// newControlPool returns the pool of connections for the changes of other daemons.
func newControlPool(account *holdings.Account, dialControl func(network, address string, conn syscall.RawConn) error) *http1.Pool {
	return http1.NewPool(http1.PoolOptions{
		DialTimeout: controlDialTimeout, IdleTimeout: hopIdleTimeout, MaxBodyBytes: maxResponseBytes, TCPUserTimeout: hopSendTimeout,
		ExchangeField: relay.ExchangeHeader, DialControl: dialControl, Account: account, Purpose: holdings.Control,
	})
}

// seed returns a random seed that differs between daemons.
func (d *Daemon) seed() uint64 { return xxhash.Sum64String(d.settings.Load().IP) }

// now returns the current time on the monotonic clock, which is not affected when the
// platform sets the system time back.
func (d *Daemon) now() id.Instant {
	return id.InstantOf(d.startedAt).Add(time.Since(d.startedAt))
}

// report passes a load report of the local backend server to the chooser.
func (d *Daemon) report(report placement.Report) {
	report.At = d.now()
	d.chooser.Report(report)
}

// retryLimits returns the retries that the platform allows to all daemons together.
func (d *Daemon) retryLimits() retry.FleetLimits {
	settings := d.settings.Load()
	near, far := d.members.nearAndFar()
	return retry.FleetLimits{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Daemons: 1 + len(near) + len(far)}
}

// parentOf returns the request running on this host's backend server that makes the
// request with the given ID, or nil.
func (d *Daemon) parentOf(requestID string) ingress.ParentRequest {
	parent := d.localBackend.ParentOf(requestID)
	if parent == nil {
		// A nil *server.ActiveRequest would become a non-nil interface value.
		return nil
	}
	return parent
}

// localServerID returns the ID of this host's backend server, or "" if it is not
// listed.
func (d *Daemon) localServerID() backend.ID {
	if current := d.localBackend.Current(); current != nil {
		return current.ID
	}
	return ""
}

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context, source SettingsSource) error {
	d.log.Info("starting", zap.String("host", string(d.settings.Load().Host)), zap.String("domain", string(d.settings.Load().Domain)),
		zap.String("service", string(d.settings.Load().Service)), zap.Strings("seeds", d.settings.Load().Seeds))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := d.listen(background)
	if err != nil {
		return err
	}
	go d.supervise(background, "queue", d.localBackend.Expire)
	go d.supervise(background, "cold start", d.coldWatch.run)
	go d.supervise(background, "store", d.followStore)
	go d.supervise(background, "peers", d.followPeers)
	go d.supervise(background, "rounds", d.runRounds)
	go d.supervise(background, "settings", func(ctx context.Context) { d.watchSettings(ctx, source) })
	<-ctx.Done()
	d.stop(servers)
	return nil
}

// servers holds the daemon's servers and its socket for beacons.
type servers struct {
	callers                           *http1.Server
	hops, control, readiness, metrics *http.Server

	beacons net.PacketConn

	// hopPlaces and otherPlaces are the accounts of the connections to hops and to the
	// other net/http servers, or nil.
	hopPlaces, otherPlaces *holdings.Account
}

// listen opens all sockets of the daemon and starts serving on them.
func (d *Daemon) listen(ctx context.Context) (*servers, error) {
	handler := ingress.New(ingress.Options{
		Service: func() id.Service { return d.settings.Load().Service }, HeaderCodec: platform.Headers{}, Chooser: d.chooser, Sender: sender{d},
		Table: d.table.Load, Configured: d.configured, RetryBudget: d.retryBudget, Recorder: d.requestLogger, Behind: d.behind, AwaitCurrent: d.awaitCurrent, ParentOf: d.parentOf, Now: d.now, Admit: d.admit,
		Local: d.localServerID, Link: d.lane.HostLink(),
	})
	hops := relay.NewHandler(relay.HandlerOptions{Local: d.localBackend, Lane: d.lane, Admit: d.admit, Now: d.now, Account: d.account})
	beacons, err := net.ListenPacket("udp4", d.settings.Load().ControlAddress)
	if err != nil {
		return nil, fmt.Errorf("control address: %w", err)
	}
	d.gossip = control.NewGossip(beacons, control.GossipOptions{
		Self: d.beacon, OnBeacon: d.handleBeacon, Now: d.now, OnError: d.logGossipError,
	})
	go d.supervise(ctx, "beacons", func(context.Context) { d.gossip.Receive() })
	s := &servers{
		callers: http1.NewServer(http1.ServerOptions{
			Handler: d.trackCallerRequests(handler), Limits: d.clientLimits, Write: d.lane.Write,
			MaxConns: maxConnections(d.settings.Load(), callerDescriptorShare, callerMemoryShare),
			Account:  d.account, OnRefused: d.countEarlyRefusal,
			OnPanic: func(r *http.Request, err error) { d.logPanic("request "+platform.Headers{}.RequestID(r.Header), err) },
		}),
		hops:      d.newServer(http1.EchoHeader(relay.ExchangeHeader, d.trackHopRequests(hops))),
		control:   d.newServer(http1.EchoHeader(relay.ExchangeHeader, control.NewHandler(d.mirror, d.storeAge))),
		readiness: d.newServer(http.HandlerFunc(d.ready)),
		metrics:   d.newServer(d.metrics.Handler()),
		beacons:   beacons,
	}
	s.hopPlaces, s.otherPlaces = newPlaces(d.settings.Load(), hopDescriptorShare, hopMemoryShare), newPlaces(d.settings.Load(), otherDescriptorShare, otherMemoryShare)
	go d.supervise(ctx, "memory", func(ctx context.Context) { d.logShortage(ctx, s.callers.Connections(), s.hopPlaces, s.otherPlaces) })
	for _, binding := range []struct {
		server  acceptor
		address string
		// places is the account of the connections of a net/http server, or nil.
		places *holdings.Account
	}{
		{s.metrics, net.JoinHostPort(d.settings.Load().IP, strconv.Itoa(d.metricsPort)), s.otherPlaces},
		{s.readiness, d.settings.Load().ReadinessAddress, s.otherPlaces},
		{s.control, d.settings.Load().ControlAddress, s.otherPlaces},
		{s.hops, d.settings.Load().HopAddress, s.hopPlaces},
		{s.callers, d.settings.Load().CallerAddress, nil},
	} {
		if err := d.serve(ctx, binding.server, binding.address, binding.places); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// clientLimits returns the limits for client requests under the active configuration.
func (d *Daemon) clientLimits() http1.Limits {
	limits := http1.Limits{HeaderTimeout: headerTimeout, IdleTimeout: listenerIdleTimeout, HeaderBytes: maxHeaderBytes}
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
		Handler: d.containPanics(handler), ConnContext: http1.ConnContext, ConnState: http1.ConnState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: listenerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(d.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// acceptor is implemented by http.Server and http1.Server.
type acceptor interface {
	Serve(listener net.Listener) error
}

func (d *Daemon) serve(ctx context.Context, server acceptor, address string, places *holdings.Account) error {
	httpServer, isHTTP := server.(*http.Server)
	config := net.ListenConfig{KeepAlive: -1}
	if !isHTTP {
		config.Control = limitReceiveBuffer
	}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	if isHTTP {
		if tcpListener, ok := listener.(*net.TCPListener); ok {
			gracefulListener := http1.NewGracefulListener(tcpListener)
			d.listeners[httpServer], listener = gracefulListener, gracefulListener
		}
		listener = http1.Listener{Listener: listener, Account: d.account, Conns: places}
	}
	go func() {
		err := server.Serve(listener)
		// A stop closes the listeners of net/http servers before the servers.
		stopped := errors.Is(err, http.ErrServerClosed) || d.shutdown.Load().RefusesNew() && errors.Is(err, net.ErrClosed)
		if !stopped {
			d.log.Error("listener stopped", zap.String("address", address), zap.Error(err))
		}
	}()
	return nil
}

// trackCallerRequests counts the client requests in progress, for the stop. Once new
// requests are refused, only calls made by running requests are served.
func (d *Daemon) trackCallerRequests(handler *ingress.Handler) http1.Handler {
	return func(ctx context.Context, r *http.Request) *http1.Response {
		isInternal := d.parentOf(platform.Headers{}.RequestID(r.Header)) != nil
		if d.shutdown.Load().RefusesNew() && !isInternal {
			return handler.RefuseLeaving(r)
		}
		if !isInternal {
			d.lastClientRequest.Store(int64(d.now()))
		}
		origin := shutdown.Client
		if isInternal {
			origin = shutdown.Call
		}
		defer d.activeRequests.begin(origin)()
		return handler.Serve(ctx, r)
	}
}

// trackHopRequests counts the requests of other daemons in progress, and refuses new
// ones at the end of the stop.
func (d *Daemon) trackHopRequests(handler *relay.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.shutdown.Load().RefusesNew() {
			handler.RefuseLeaving(w, r)
			return
		}
		defer d.activeRequests.begin(shutdown.Peer)()
		handler.ServeHTTP(w, r)
	})
}

// ready serves the platform's readiness checks. The daemon is ready while it has a
// configuration and is not stopping.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.shutdown.Load() != nil || d.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
