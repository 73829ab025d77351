// Package daemon assembles the proxy process of one host from the other packages:
// the kernel, which keeps the configuration and the membership, the QUIC links
// to other daemons, the reads of the platform, and the HTTP path of calls.
//
// One goroutine, the control goroutine, owns the kernel. Calls never wait for
// it: they read the view and the endpoints through atomic pointers.
//
// # Usage
//
//	d, err := daemon.New(settings, logger)
//	if err != nil {
//		return err
//	}
//	return d.Run(ctx) // until ctx ends and the graceful shutdown is done
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/balance"
	_ "marjoramsaddle/core/census" // registers its plug-in
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
	"marjoramsaddle/core/kernel"
	_ "marjoramsaddle/core/member"  // registers its plug-in
	_ "marjoramsaddle/core/overlay" // registers its plug-in
	_ "marjoramsaddle/core/reader"  // registers its plug-in
	"marjoramsaddle/core/snapshot"
	_ "marjoramsaddle/core/spread" // registers its plug-in
	"marjoramsaddle/io/backend"
	"marjoramsaddle/io/caller"
	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/hop"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/operator"
	"marjoramsaddle/io/peer"
	"marjoramsaddle/io/platform"
	"marjoramsaddle/io/record"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/io/telemetry"
)

// eventQueueLength is the number of events that may wait for the control
// goroutine; after that emit blocks.
const eventQueueLength = 4096

// Daemon holds the control state, the listeners and the call path of one host.
// New assembles it and Run serves.
type Daemon struct {
	settings *settings.Settings
	log      *zap.Logger
	keys     *certificate.Keys
	metrics  *telemetry.Metrics

	// Control state, used only by the control goroutine.
	kernel        *kernel.Kernel
	platformReads platformReads

	events  chan kernel.Event
	queries chan func(*kernel.Kernel)
	stopped chan struct{}
	recent  *recentEvents
	// recorder is nil unless the settings name a trace file.
	recorder       *recorder
	statusRequests statusRequests

	transport *peer.Transport
	platform  *platform.Client

	// State that calls read without locks. Only the control goroutine writes the
	// pointers.
	view           atomic.Pointer[snapshot.View]
	snapshot       atomic.Pointer[snapshot.Snapshot]
	endpoints      atomic.Pointer[map[id.Host]endpoint.Entry]
	hostsByService atomic.Pointer[map[id.Service][]id.Host]
	readiness      atomic.Int32
	// lastStepAt is when the control goroutine last applied an event, in Unix
	// nanoseconds.
	lastStepAt atomic.Int64

	gate         *admission.Gate
	chooser      *balance.Chooser
	backend      *backend.Server
	backendState backendState
	hop          *hop.Client
	records      *idempotency.Records
	record       *record.Server
	retryBudgets retryBudgets
	rateLimiters rateLimiters

	callers   *callerServer
	hopServer *hop.Server
	operators *operator.Server
	// drainRequested is closed when an operator asks for a graceful stop.
	drainRequested chan struct{}
	drainOnce      sync.Once
	wait           sync.WaitGroup
}

// New assembles a daemon from validated settings. It opens no socket.
func New(s *settings.Settings, log *zap.Logger) (*Daemon, error) {
	keys, err := certificate.Load(s.TLS)
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:       s,
		log:            log,
		keys:           keys,
		metrics:        metrics,
		events:         make(chan kernel.Event, eventQueueLength),
		queries:        make(chan func(*kernel.Kernel)),
		stopped:        make(chan struct{}),
		drainRequested: make(chan struct{}),
	}
	if s.PlatformURL != "" {
		d.platform = platform.NewClient(s.PlatformURL)
	}
	env := s.Environment(now())
	d.kernel = kernel.New(env)
	d.recent = newRecentEvents(s.TraceEvents, env)
	d.buildTraffic()
	return d, nil
}

func now() id.Instant { return id.InstantOf(time.Now()) }

// Run serves until the context ends or an operator requests a drain, and then
// stops gracefully: calls in progress may finish until the drain deadline of the
// settings.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.startRecorder(); err != nil {
		return err
	}
	defer d.recorder.close()
	if err := d.listen(); err != nil {
		return err
	}
	defer d.transport.Close()
	control, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	d.wait.Add(1)
	go d.control(control)
	go d.expireQueuedCalls(control)
	go backend.Probe(control, d.settings.BackendAddress, d.settings.BackendHealthPath, d.onHealth)
	d.log.Named("daemon").Info("started", zap.String("host", string(d.settings.Host)))
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	}
	d.drain()
	stopControl()
	d.wait.Wait()
	d.log.Named("daemon").Info("stopped")
	return nil
}

func (d *Daemon) listen() error {
	s := d.settings
	identity := certificate.Identity{Host: s.Host, Domain: s.FailureDomain}
	var err error
	d.transport, err = peer.Listen(s.ControlAddress, d.keys, identity, d.emit)
	if err != nil {
		return err
	}
	d.hopServer, err = hop.Serve(s.HopAddress, d.keys, d.record)
	if err != nil {
		d.transport.Close()
		return err
	}
	if err := d.listenHTTP(); err != nil {
		d.transport.Close()
		return err
	}
	return d.gauges()
}

func (d *Daemon) listenHTTP() error {
	options := caller.Options{
		Self:      d.settings.Host,
		Chooser:   chooser{d.chooser},
		Sender:    sender{d},
		Budget:    d.retryBudgets.get,
		AllowCall: d.rateLimiters.allow,
		Metrics:   d.metrics,
		View:      d.view.Load,
		Ready:     d.Readiness,
		Now:       now,
	}
	if !d.settings.Experiment.NoRecords {
		options.Owners = d.liveReplicas
	}
	var err error
	d.callers, err = serveHTTP("caller_address", d.settings.CallerAddress, caller.New(options))
	if err != nil {
		return err
	}
	return d.serveOperators()
}

// headerTimeout bounds the time until the header of a caller's request has
// arrived.
const headerTimeout = 5 * time.Second

// idleTimeout is the time after which an idle caller connection is closed.
const idleTimeout = 2 * time.Minute

// callerServer is the HTTP server for callers, together with its listener, which
// a graceful stop closes before the connections.
type callerServer struct {
	*http.Server
	listener *http1.GracefulListener
}

func serveHTTP(field, address string, handler http.Handler) (*callerServer, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("daemon: %w: free %s or choose another", err, field)
	}
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("daemon: %s is not a TCP address: choose another %s", address, field), inner.Close())
	}
	listener := http1.NewGracefulListener(tcp)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    hop.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	go func() { _ = server.Serve(listener) }()
	return &callerServer{Server: server, listener: listener}, nil
}

// gauges registers the gauges whose values are read when metrics are collected.
func (d *Daemon) gauges() error {
	gauges := []struct {
		name, help string
		read       func() int64
	}{
		{"marjoramsaddle_version_in_force", "Configuration version in force.", d.versionInForce},
		{"marjoramsaddle_control_sent_bytes", "Bytes sent on control links.", func() int64 { sent, _ := d.transport.ByteCounts(); return sent }},
		{"marjoramsaddle_control_received_bytes", "Bytes received on control links.", func() int64 { _, received := d.transport.ByteCounts(); return received }},
		{"marjoramsaddle_backend_connections", "Connections opened to the backend server.", d.backend.OpenedConnections},
		{"marjoramsaddle_readiness", "0 starting, 1 serving, 2 resyncing, 3 draining.", func() int64 { return int64(d.Readiness()) }},
	}
	for _, gauge := range gauges {
		if err := d.metrics.Gauge(gauge.name, gauge.help, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

// versionInForce returns the configuration version in force, or 0 for none.
func (d *Daemon) versionInForce() int64 {
	if view := d.view.Load(); view != nil {
		return int64(view.Version)
	}
	return 0
}
