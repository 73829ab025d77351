package hop

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/settings"
)

// headerTimeout is the time in which a request's header must arrive.
const headerTimeout = 5 * time.Second

// Server accepts calls from other daemons on TCP (HTTP/2) and UDP (HTTP/3).
type Server struct {
	tcp  *http.Server
	udp  *http3.Server
	done chan struct{}
}

// Serve listens on the address and passes calls to the handler. It always accepts
// both transports, so that hosts with different hop_transport settings interoperate.
func Serve(address string, keys *certificate.Keys, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("hop: %w: free hop_address or choose another", err)
	}
	s := &Server{
		tcp: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    MaxHeaderBytes,
			IdleTimeout:       2 * idleTimeout,
			ErrorLog:          discardLog,
		},
		udp: &http3.Server{
			Handler:        handler,
			MaxHeaderBytes: MaxHeaderBytes,
			TLSConfig:      http3.ConfigureTLSConfig(keys.Server("h3")),
			QUICConfig: &quic.Config{
				MaxIdleTimeout:             2 * idleTimeout,
				InitialStreamReceiveWindow: streamWindow,
				MaxStreamReceiveWindow:     streamWindow,
				MaxConnectionReceiveWindow: connectionWindow,
			},
		},
		done: make(chan struct{}),
	}
	socket, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("hop: %w: free hop_address or choose another", err)
	}
	go s.run(tls.NewListener(listener, keys.Server("h2")), socket)
	return s, nil
}

func (s *Server) run(listener net.Listener, socket net.PacketConn) {
	defer close(s.done)
	go func() {
		_ = s.udp.Serve(socket)
		_ = socket.Close()
	}()
	_ = s.tcp.Serve(listener)
}

// Shutdown stops accepting calls, waits for those in progress until the context
// ends, and closes the listeners.
func (s *Server) Shutdown(ctx context.Context) error {
	err := errors.Join(s.tcp.Shutdown(ctx), s.udp.Shutdown(ctx))
	_ = s.tcp.Close()
	_ = s.udp.Close()
	<-s.done
	return err
}

// Transports returns the valid values of the hop_transport setting.
func Transports() []string { return []string{settings.HTTP2, settings.HTTP3} }
