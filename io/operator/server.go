package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	genserver "marjoramsaddle/gen/http/operator/server"
	gen "marjoramsaddle/gen/operator"
)

// The limits of the listener. The header limits are identical on all listeners of
// the daemon.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	// maxBodyBytes bounds request bodies, which no method uses.
	maxBodyBytes = 4 << 10
	// readTimeout bounds the time to read a request with its body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time to write a response; the largest is a trace.
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
)

// Options configures a Server. Only LocalDaemon is required.
type Options struct {
	LocalDaemon LocalDaemon
	// Metrics serves /metrics; nil disables the path.
	Metrics http.Handler
	// TLS makes the listener use mutual TLS 1.3. It must require and verify client
	// certificates. Nil is allowed on a loopback address only.
	TLS *tls.Config
	// ErrorLog logs connection errors, such as failed handshakes; nil means the
	// standard logger.
	ErrorLog *log.Logger
}

// Server is the HTTP server of one daemon's operators' interface.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// New returns a server on the listener and takes ownership of it. It returns an
// error if other machines could connect without a client certificate.
func New(listener net.Listener, options Options) (*Server, error) {
	if err := checkAddress(listener.Addr(), options.TLS); err != nil {
		return nil, err
	}
	if options.TLS != nil {
		config := options.TLS.Clone()
		config.MinVersion = tls.VersionTLS13
		listener = tls.NewListener(listener, config)
	}
	return &Server{
		listener: listener,
		server: &http.Server{
			Handler:           handler(options),
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       readTimeout,
			WriteTimeout:      writeTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          options.ErrorLog,
		},
	}, nil
}

// Serve handles requests until Shutdown or Close, and then returns nil.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting requests and waits for those in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.server.Close() }

// checkAddress returns an error unless the address is a loopback address or TLS
// requires a client certificate.
func checkAddress(address net.Addr, config *tls.Config) error {
	if config != nil {
		if config.ClientAuth != tls.RequireAndVerifyClientCert {
			return errors.New("operators' listener: TLS does not require client certificates: set ClientAuth to RequireAndVerifyClientCert")
		}
		return nil
	}
	tcp, ok := address.(*net.TCPAddr)
	if !ok || !tcp.IP.IsLoopback() {
		return fmt.Errorf("operators' listener: %s is not a loopback address: use 127.0.0.1 or set certificates", address)
	}
	return nil
}

// handler returns a handler for the methods of the design and the metrics.
func handler(options Options) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := gen.NewEndpoints(newService(options.LocalDaemon))
	methods := genserver.New(endpoints, mux, goahttp.RequestDecoder, jsonEncoder, nil, formatError)
	genserver.Mount(mux, methods)
	root := http.NewServeMux()
	root.Handle("/v1/", mux)
	root.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &errorBody{
			Name: nameNotFound, Problem: "no such path",
			Remedy: "use /v1/status, /v1/view, /v1/drain, /v1/trace, /v1/health or /metrics", status: http.StatusNotFound,
		})
	})
	if options.Metrics != nil {
		root.Handle("GET /metrics", options.Metrics)
	}
	protected := http.NewCrossOriginProtection().Handler(root)
	if options.TLS == nil {
		protected = rejectHostNames(protected)
	}
	return http.MaxBytesHandler(protected, maxBodyBytes)
}

// rejectHostNames rejects requests whose Host header is a name other than
// localhost. It guards against DNS rebinding: a web page opened on this machine
// could let its own name resolve to the loopback address and drain the daemon as
// a same-origin request.
func rejectHostNames(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host := r.Host
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
		if host != "localhost" && net.ParseIP(strings.Trim(host, "[]")) == nil {
			writeError(w, &errorBody{
				Name: nameBadRequest, Problem: "the Host header is not an IP address",
				Remedy: "use the address of the listener", status: http.StatusForbidden,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeError responds with an error outside the methods of the design. A failed
// write is ignored, because it means that the client has disconnected.
func writeError(w http.ResponseWriter, body *errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(body.status)
	_ = json.NewEncoder(w).Encode(body)
}

// jsonEncoder encodes responses as JSON regardless of the Accept header.
func jsonEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}
