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

// The limits of the listener. Those on the header are the limits of every
// listener of the daemon.
const (
	maxHeaderBytes     = 64 << 10
	readHeaderDeadline = 5 * time.Second
	// maxBodyBytes bounds request bodies, which no method needs.
	maxBodyBytes = 4 << 10
	// readDeadline bounds a whole request.
	readDeadline = 10 * time.Second
	// writeDeadline bounds an answer, the longest of which is a trace.
	writeDeadline = 30 * time.Second
	idleDeadline  = time.Minute
)

// Options configures a Server.
type Options struct {
	LocalDaemon LocalDaemon
	// Metrics serves /metrics; nil leaves it out.
	Metrics http.Handler
	// TLS makes the listener use mutual TLS 1.3. It must verify client
	// certificates. Nil is allowed on a loopback address only.
	TLS *tls.Config
	// ErrorLog takes the errors of connections, such as failed handshakes; nil
	// means the standard logger.
	ErrorLog *log.Logger
}

// Server is the operators' HTTP server of one daemon.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// New returns a server on the listener, which it owns from then on. It refuses
// an address that others could reach without a certificate.
func New(listener net.Listener, options Options) (*Server, error) {
	if err := checkExposure(listener.Addr(), options.TLS); err != nil {
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
			ReadHeaderTimeout: readHeaderDeadline,
			ReadTimeout:       readDeadline,
			WriteTimeout:      writeDeadline,
			IdleTimeout:       idleDeadline,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          options.ErrorLog,
		},
	}, nil
}

// Serve answers requests until Shutdown or Close. It returns nil after these.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting requests and waits for those at work.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close ends all connections at once.
func (s *Server) Close() error { return s.server.Close() }

func checkExposure(address net.Addr, config *tls.Config) error {
	if config != nil {
		if config.ClientAuth != tls.RequireAndVerifyClientCert {
			return errors.New("operators' listener: TLS without client certificates: set ClientAuth to RequireAndVerifyClientCert")
		}
		return nil
	}
	tcp, ok := address.(*net.TCPAddr)
	if !ok || !tcp.IP.IsLoopback() {
		return fmt.Errorf("operators' listener: %s is not a loopback address: use 127.0.0.1 or set certificates", address)
	}
	return nil
}

// handler mounts the methods of the design and the metrics.
func handler(options Options) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := gen.NewEndpoints(newService(options.LocalDaemon))
	methods := genserver.New(endpoints, mux, goahttp.RequestDecoder, jsonEncoder, nil, formatError)
	genserver.Mount(mux, methods)
	root := http.NewServeMux()
	root.Handle("/v1/", mux)
	root.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeFault(w, &faultBody{
			Name: nameNotFound, Problem: "no such path",
			Remedy: "use /v1/status, /v1/view, /v1/drain, /v1/trace, /v1/health or /metrics", status: http.StatusNotFound,
		})
	})
	if options.Metrics != nil {
		root.Handle("GET /metrics", options.Metrics)
	}
	guarded := http.NewCrossOriginProtection().Handler(root)
	if options.TLS == nil {
		guarded = refuseNames(guarded)
	}
	return http.MaxBytesHandler(guarded, maxBodyBytes)
}

// refuseNames refuses requests whose Host header is a name. A web page opened
// on the same machine could otherwise have its own name resolve to the loopback
// address and drain the daemon as if from the same origin.
func refuseNames(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host := r.Host
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
		if host != "localhost" && net.ParseIP(strings.Trim(host, "[]")) == nil {
			writeFault(w, &faultBody{
				Name: nameBadRequest, Problem: "the Host header is not an IP address",
				Remedy: "use the address of the listener", status: http.StatusForbidden,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeFault answers with an error outside the methods of the design. An error
// of the write means that the operator has gone.
func writeFault(w http.ResponseWriter, fault *faultBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.status)
	_ = json.NewEncoder(w).Encode(fault)
}

// jsonEncoder answers in JSON whatever the request accepts.
func jsonEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}
