// Package daemon assembles one daemon: the kernel in its control goroutine,
// the control links, the reads of the platform, and the path of calls.
//
// Usage:
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

// eventQueue is the number of events that wait for the control goroutine.
const eventQueue = 4096

// Daemon is one running daemon.
type Daemon struct {
	settings *settings.Settings
	log      *zap.Logger
	keys     *certificate.Keys
	metrics  *telemetry.Metrics

	// Control state, used only by the control goroutine.
	kernel *kernel.Kernel
	reads  reads

	events  chan kernel.Event
	queries chan func(*kernel.Kernel)
	stopped chan struct{}
	recent  *recentEvents
	// recorder is nil unless the settings name a trace file.
	recorder *recorder
	answers  answers

	transport *peer.Transport
	platform  *platform.Client

	// Traffic state, read without locks.
	view     atomic.Pointer[snapshot.View]
	snapshot atomic.Pointer[snapshot.Snapshot]
	table    atomic.Pointer[map[id.Host]endpoint.Entry]
	services atomic.Pointer[map[id.Service][]id.Host]
	ready    atomic.Int32
	// steppedAt is when the control goroutine last ran, in Unix nanoseconds.
	steppedAt atomic.Int64

	gate    *admission.Gate
	chooser *balance.Chooser
	backend *backend.Server
	signs   signs
	hop     *hop.Client
	records *idempotency.Records
	record  *record.Server
	budgets budgets
	limits  limits

	callers   *callerServer
	hopServer *hop.Server
	operators *operator.Server
	// leave is closed when an operator asks for a graceful stop.
	leave     chan struct{}
	leaveOnce sync.Once
	wait      sync.WaitGroup
}

// New assembles a daemon from checked settings. It opens no socket.
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
		settings: s,
		log:      log,
		keys:     keys,
		metrics:  metrics,
		events:   make(chan kernel.Event, eventQueue),
		queries:  make(chan func(*kernel.Kernel)),
		stopped:  make(chan struct{}),
		leave:    make(chan struct{}),
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

// Run serves until the context ends, and then stops gracefully: work in
// progress finishes, bounded by the drain deadline of the settings.
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
	go d.keepGate(control)
	go backend.Probe(control, d.settings.BackendAddress, d.settings.BackendHealthPath, d.onHealth)
	d.log.Named("daemon").Info("started", zap.String("host", string(d.settings.Host)))
	select {
	case <-ctx.Done():
	case <-d.leave:
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
		Self:    d.settings.Host,
		Chooser: chooser{d.chooser},
		Sender:  sender{d},
		Budget:  d.budgets.get,
		Limit:   d.limits.allow,
		Record:  d.metrics,
		View:    d.view.Load,
		Ready:   d.Readiness,
		Now:     now,
	}
	if !d.settings.Experiment.NoRecords {
		options.Owners = d.owners
	}
	var err error
	d.callers, err = serveHTTP("caller_address", d.settings.CallerAddress, caller.New(options))
	if err != nil {
		return err
	}
	return d.serveOperators()
}

// headerTimeout bounds the time in which a request's header must arrive.
const headerTimeout = 5 * time.Second

// idleTimeout closes idle connections of callers.
const idleTimeout = 2 * time.Minute

// callerServer serves callers until its listener and then its connections are
// closed.
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
		return nil, errors.Join(fmt.Errorf("daemon: %s is no TCP address: choose another %s", address, field), inner.Close())
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

// gauges registers the values that are read when metrics are collected.
func (d *Daemon) gauges() error {
	gauges := []struct {
		name, about string
		read        func() int64
	}{
		{"marjoramsaddle_version_in_force", "Configuration version in force.", d.versionInForce},
		{"marjoramsaddle_control_sent_bytes", "Bytes sent on control links.", func() int64 { sent, _ := d.transport.ByteCounts(); return sent }},
		{"marjoramsaddle_control_received_bytes", "Bytes received on control links.", func() int64 { _, received := d.transport.ByteCounts(); return received }},
		{"marjoramsaddle_backend_connections", "Connections opened to the backend server.", d.backend.Dialled},
		{"marjoramsaddle_readiness", "0 starting, 1 serving, 2 resyncing, 3 draining.", func() int64 { return int64(d.Readiness()) }},
	}
	for _, gauge := range gauges {
		if err := d.metrics.Gauge(gauge.name, gauge.about, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) versionInForce() int64 {
	if view := d.view.Load(); view != nil {
		return int64(view.Version)
	}
	return 0
}
